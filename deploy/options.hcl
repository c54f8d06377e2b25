# Operators' own settings, given with --options. These are the values that hold without it; `swiftford options` lists all.
dispatch {
  threshold         = 1
  take_back_reports = 2
  team_floor        = 0.9
  class_floor       = 0.5
}
