// Heartbeats and their responses in the words of the wire, as machines of the hotpath load write and read them.

/** A task as it stands on the wire. */
export interface WireTask {
  piece: string;
  try: number;
  status: string;
  cause?: string;
}

/** A command as it stands on the wire. */
export interface WireCommand {
  verb: string;
  piece: string;
  try: number;
}

/** The body of a heartbeat's response, with the token of the leader. */
export interface WireResponseBody {
  baton: number;
  orders: WireCommand[];
}

/** A heartbeat's response as it stands on the wire. */
export interface WireResponse {
  status: number;
  body: string;
}

/** What a heartbeat says of its machine. */
export interface WireMachine {
  id: string;
  type: string;
  zone: string;
  seq: number;
  fencingToken: number;
  tasks: ReadonlyMap<string, WireTask>;
}

/** A heartbeat in the words of the wire. */
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

/** The bytes of the HTTP request that a machine sends. */
export function httpRequest(body: string): Buffer {
  const head = `POST /checkin HTTP/1.1\r\nHost: 10.0.0.1:80\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n`;
  return Buffer.from(head + body);
}
