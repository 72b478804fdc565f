/** Network addresses as the settings write them: host, colon, port. */

/** Host and port of an address. */
export function splitAddress(address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
