/** Network addresses in the form of the settings: host, colon, port. */

/** Splits an address into its host and its port. */
export function splitAddress(address: string): [host: string, port: number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
