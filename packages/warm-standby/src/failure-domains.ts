/**
 * Failure domains: groups of controllers that may fail together. A domain is a set of IP networks; an address belongs to
 * the domain of the network with the longest prefix that contains it. Without networks a controller's zone is its domain.
 */
import ipaddr from 'ipaddr.js';
import type { PlatformSettings } from '../../../src/config/platform-settings.js';
import { CodedError } from '../../../src/core/errors.js';
import { splitAddress } from '../../../src/core/model/address.js';

type Address = ipaddr.IPv4 | ipaddr.IPv6;

interface Network {
  readonly domain: string;
  readonly base: Address;
  readonly prefix: number;
  /** The network as it was configured. */
  readonly text: string;
}

/** A failure domain as the options have it. */
export interface DomainOptions {
  readonly name: string;
  readonly networks: readonly string[];
}

/** Invalid failure domains; the message begins with the path of the option. */
export class FailureDomainError extends CodedError {
  readonly code = 'invalid_failure_domains';
}

/** Parses an IP address; null where it is none. IPv4-mapped addresses, as IPv6 sockets report IPv4 peers, become IPv4. */
function parseAddress(text: string): Address | null {
  return ipaddr.isValid(text) ? ipaddr.process(text) : null;
}

/** Parses a network in CIDR notation. Throws `FailureDomainError` where it is none or has bits beyond its prefix. */
function parseNetwork(text: string, domain: string, path: string): Network {
  if (!ipaddr.isValidCIDR(text))
    throw new FailureDomainError(`${path}: ${text} is not a network such as 10.0.0.0/24`);
  const [base, prefix] = ipaddr.parseCIDR(text);
  const networkAddress =
    base.kind() === 'ipv4'
      ? ipaddr.IPv4.networkAddressFromCIDR(text)
      : ipaddr.IPv6.networkAddressFromCIDR(text);
  if (networkAddress.toNormalizedString() !== base.toNormalizedString())
    throw new FailureDomainError(
      `${path}: ${text} has bits beyond its prefix, ${networkAddress.toString()}/${prefix} would be valid`,
    );
  return { domain, base, prefix, text };
}

const isInNetwork = (address: Address, { base, prefix }: Network): boolean =>
  address.kind() === base.kind() && address.match(base, prefix);

/**
 * Throws `FailureDomainError` where the network is configured already: its addresses would have two domains. Nested
 * networks are allowed, since the longer prefix decides.
 */
function rejectDuplicate(networks: readonly Network[], network: Network, path: string): void {
  const duplicate = networks.find(
    (n) => n.prefix === network.prefix && n.base.toNormalizedString() === network.base.toNormalizedString(),
  );
  if (duplicate === undefined) return;
  throw new FailureDomainError(`${path}: ${network.text} stands in domain "${duplicate.domain}" already`);
}

/** The failure domains of the options, looked up by IP address. */
export class FailureDomains {
  /** Longest prefix first. */
  private readonly networks: Network[] = [];

  /** Throws `FailureDomainError` with the path of the first invalid option. */
  constructor(domains: readonly DomainOptions[]) {
    domains.forEach(({ name, networks }, i) => {
      const path = `failure_domains.${i}`;
      if (domains.findIndex((d) => d.name === name) !== i)
        throw new FailureDomainError(`${path}.name: "${name}" is used twice`);
      networks.forEach((text, j) => {
        const network = parseNetwork(text, name, `${path}.networks.${j}`);
        rejectDuplicate(this.networks, network, `${path}.networks.${j}`);
        this.networks.push(network);
      });
    });
    this.networks.sort((a, b) => b.prefix - a.prefix);
  }

  /** Whether any networks are configured; without them the zones are the failure domains. */
  get hasNetworks(): boolean {
    return this.networks.length > 0;
  }

  /** The domain of an IP address; null where no network contains it. */
  domainOf(ip: string): string | null {
    const address = parseAddress(ip);
    if (address === null) return null;
    return this.networks.find((n) => isInNetwork(address, n))?.domain ?? null;
  }

  /** Whether messages from the IP address are answered: where networks are configured, one must contain it. */
  accepts(ip: string): boolean {
    return !this.hasNetworks || this.domainOf(ip) !== null;
  }
}

/**
 * The failure domain of each controller by name. Throws `FailureDomainError` where networks are configured and none
 * contains the controller's address.
 */
export function domainsOfControllers(
  domains: FailureDomains,
  settings: PlatformSettings,
): ReadonlyMap<string, string> {
  const own = { node: settings.node, zone: settings.zone, address: settings.peerBind };
  const domainByNode = new Map<string, string>();
  for (const { node, zone, address } of [own, ...settings.peers]) {
    const [host] = splitAddress(address);
    const domain = domains.hasNetworks ? domains.domainOf(host) : zone;
    if (domain === null)
      throw new FailureDomainError(`failure_domains: ${host} of ${node} is in none of the networks`);
    domainByNode.set(node, domain);
  }
  return domainByNode;
}
