// Wire format of heartbeats and their responses, as machines of the hotpath load write and read them.

/** A task in wire format. */
export interface WireTask {
  piece: string;
  try: number;
  status: string;
  cause?: string;
}

/** A command in wire format. */
export interface WireCommand {
  verb: string;
  piece: string;
  try: number;
}

/** The body of a heartbeat response: the leader's fencing token (`baton`) and the commands (`orders`). */
export interface WireResponseBody {
  baton: number;
  orders: WireCommand[];
}

/** A heartbeat response in wire format. */
export interface WireResponse {
  status: number;
  body: string;
}

/** The state of a machine that a heartbeat reports. */
export interface WireMachine {
  id: string;
  type: string;
  zone: string;
  seq: number;
  fencingToken: number;
  tasks: ReadonlyMap<string, WireTask>;
}

/** The body of a heartbeat in wire format. */
export function heartbeatBody(machine: WireMachine): string {
  return JSON.stringify({
    berth: machine.id,
    endpoint: '10.1.0.1:9000',
    berthkind: machine.type,
    yard: machine.zone,
    loaners: true,
    shift: 1,
    tally: machine.seq,
    baton: machine.fencingToken,
    recallS: null,
    pieces: [...machine.tasks.values()],
  });
}

/** The bytes of a heartbeat's HTTP request. */
export function httpRequest(body: string): Buffer {
  const head = `POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n`;
  return Buffer.from(head + body);
}
