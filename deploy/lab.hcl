# A cluster on one machine: swiftford lab --options deploy/lab.hcl
# Every key is shown; what is left out has its default.

lab {
  seed        = 1
  port        = 7070
  controllers = 3
  speed       = 1          # boots, fetches and simulated run times so many times as fast
  zones       = ["a", "b"]
}

team "demo" {}

team "small" {
  cpus     = 4             # guaranteed
  cpus_max = 8             # at most; 0 for no limit
}

type "small" {
  cpus           = 8
  memory_gb      = 32
  cache_gb       = 50
  fetch_gb_per_s = 1
  price          = 1
  spot_price     = 0.3
  boot_s         = 3
  count          = 8       # in each zone
  spot           = 4
}

type "accel" {
  cpus      = 16
  gpus      = 2
  memory_gb = 128
  price     = 4
  count     = 2
}

workers {
  report_s    = 1
  lease_s     = 10
  gang_wait_s = 30
  gang_peer_s = 4
  cancel_s    = 40
}

state {
  rps        = 500
  write_rps  = 300
  value_kb   = 8
  txn_ops    = 24
  latency_ms = 2
}

cloud {
  rps        = 20
  list_lag_s = 2
  latency_ms = 20
}
