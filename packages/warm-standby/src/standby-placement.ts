/**
 * Places the standbys of a shard by rendezvous hashing: all controllers compute the same result without communication, and
 * a controller that joins or leaves moves only the standbys that it gains or had.
 */
import { createHash } from 'node:crypto';
import type { NodeName } from '../../../src/core/model/ids.js';

/** What the placement of a shard's standbys depends on. */
export interface PlacementInput {
  readonly shard: NodeName;
  readonly holder: NodeName;
  /** Controllers that may be standbys: they have a session and are not draining. */
  readonly candidates: readonly NodeName[];
  /** Failure domain by name of controller. */
  readonly domainOf: ReadonlyMap<string, string>;
  /** Number of standbys wanted. */
  readonly degree: number;
}

/**
 * Rendezvous weights by pair of shard and controller. Cached since they are needed many times a second; there is one for
 * each pair of controllers.
 */
const weightByPair = new Map<string, string>();

function weightOf(shard: NodeName, node: NodeName): string {
  const pair = `${shard}\n${node}`;
  let weight = weightByPair.get(pair);
  if (weight === undefined) {
    weight = createHash('sha256').update(pair).digest('hex');
    weightByPair.set(pair, weight);
  }
  return weight;
}

/**
 * The standbys of a shard, in order of rank. None of them is in the holder's failure domain, and two of them share a domain
 * only where there are fewer other domains than standbys.
 */
export function placeStandbys(input: PlacementInput): NodeName[] {
  const { shard, holder, candidates, domainOf, degree } = input;
  const ranked = candidates
    .filter((node) => node !== holder && domainOf.get(node) !== domainOf.get(holder))
    .map((node) => ({ node, weight: weightOf(shard, node) }))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({ node }) => node);
  const usedDomains = new Set<string | undefined>();
  const firstInDomain: NodeName[] = [];
  const othersInDomain: NodeName[] = [];
  for (const node of ranked) {
    const domain = domainOf.get(node);
    (usedDomains.has(domain) ? othersInDomain : firstInDomain).push(node);
    usedDomains.add(domain);
  }
  return [...firstInDomain, ...othersInDomain].slice(0, degree);
}
