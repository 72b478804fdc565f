/**
 * Which controllers may fail together. Domains are given by IP networks; an address belongs to the domain of the longest
 * network that holds it. Without networks a controller's zone is its domain.
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
  readonly text: string;
}

/** A domain as the options give it. */
export interface DomainOptions {
  readonly name: string;
  readonly networks: readonly string[];
}

/** Networks that cannot be used; the message begins with the path. */
export class FailureDomainError extends CodedError {
  readonly code = 'invalid_failure_domains';
}

/** IPv4 addresses may arrive in the form for IPv6 sockets. */
function parseAddress(text: string): Address | null {
  return ipaddr.isValid(text) ? ipaddr.process(text) : null;
}

function parseNetwork(text: string, domain: string, path: string): Network {
  if (!ipaddr.isValidCIDR(text))
    throw new FailureDomainError(`${path}: ${text} is not a network such as 10.0.0.0/24`);
  const [base, prefix] = ipaddr.parseCIDR(text);
  const first =
    base.kind() === 'ipv4'
      ? ipaddr.IPv4.networkAddressFromCIDR(text)
      : ipaddr.IPv6.networkAddressFromCIDR(text);
  if (first.toNormalizedString() !== base.toNormalizedString())
    throw new FailureDomainError(
      `${path}: ${text} has bits beyond its prefix, ${first.toString()}/${prefix} was meant?`,
    );
  return { domain, base, prefix, text };
}

const isIn = (address: Address, { base, prefix }: Network): boolean =>
  address.kind() === base.kind() && address.match(base, prefix);

/** The same network twice can't be told apart; one within another is decided by the longer prefix. */
function refuseTwins(networks: readonly Network[], network: Network, path: string): void {
  const twin = networks.find(
    (n) => n.prefix === network.prefix && n.base.toNormalizedString() === network.base.toNormalizedString(),
  );
  if (twin === undefined) return;
  throw new FailureDomainError(`${path}: ${network.text} stands in domain "${twin.domain}" already`);
}

/** Failure domains by network. */
export class FailureDomains {
  private readonly networks: Network[] = [];

  /** Throws `DomainError` with the path of what is wrong. */
  constructor(domains: readonly DomainOptions[]) {
    domains.forEach(({ name, networks }, i) => {
      const path = `failure_domains.${i}`;
      if (domains.findIndex((d) => d.name === name) !== i)
        throw new FailureDomainError(`${path}.name: "${name}" stands there twice`);
      networks.forEach((text, j) => {
        const network = parseNetwork(text, name, `${path}.networks.${j}`);
        refuseTwins(this.networks, network, `${path}.networks.${j}`);
        this.networks.push(network);
      });
    });
    this.networks.sort((a, b) => b.prefix - a.prefix);
  }

  /** Whether any networks are given; else zones count. */
  get hasNetworks(): boolean {
    return this.networks.length > 0;
  }

  /** The domain of an IP address, or null where no network holds it. */
  domainOf(ip: string): string | null {
    const address = parseAddress(ip);
    if (address === null) return null;
    return this.networks.find((n) => isIn(address, n))?.domain ?? null;
  }

  /** Whether a connection from the address may ask anything of this package. */
  accepts(ip: string): boolean {
    return !this.hasNetworks || this.domainOf(ip) !== null;
  }
}

/** The domain of each controller by name. Throws `DomainError` where networks are given and one is in none. */
export function domainsOfControllers(
  domains: FailureDomains,
  settings: PlatformSettings,
): ReadonlyMap<string, string> {
  const own = { node: settings.node, zone: settings.zone, address: settings.peerBind };
  const out = new Map<string, string>();
  for (const { node, zone, address } of [own, ...settings.peers]) {
    const [host] = splitAddress(address);
    const domain = domains.hasNetworks ? domains.domainOf(host) : zone;
    if (domain === null)
      throw new FailureDomainError(`failure_domains: ${host} of ${node} is in none of them`);
    out.set(node, domain);
  }
  return out;
}
