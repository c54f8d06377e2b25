// Addresses in the form of the settings, `host:port`.

/** An address to connect to or to listen on. */
export interface Address {
  host: string;
  port: number;
}

/** Splits an address such as `10.0.0.1:8080`. */
export function splitAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
