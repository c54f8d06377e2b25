export function splitAddress(addr: string): { host: string; port: number } {
  const cut = addr.lastIndexOf(':');
  return { host: addr.slice(0, cut), port: Number(addr.slice(cut + 1)) };
}
