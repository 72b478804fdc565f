/** Network addresses as the settings write them: host, colon, port. */

/** Host and port of an address. */
export function splitAddress(address: string): [host: string, port: number] {
  const at = address.lastIndexOf(':');
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
