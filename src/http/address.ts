// Addresses as the settings give them: host, colon, port.

/** An address that can be connected to or listened at. */
export interface Address {
  host: string;
  port: number;
}

/** Splits an address such as `10.0.0.1:8080`. */
export function splitAddress(address: string): Address {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
