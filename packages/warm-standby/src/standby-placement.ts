/**
 * Which controllers stand by for a shard: by rendezvous hashing, so that all controllers come to the same answer without
 * asking one another, and one that comes or goes moves only the standbys that it gains or had.
 */
import { createHash } from 'node:crypto';
import type { NodeName } from '../../../src/core/model/ids.js';

/** What placement depends on. */
export interface PlacementInput {
  readonly shard: NodeName;
  readonly holder: NodeName;
  /** Controllers that may stand by: they have a session and are not about to end. */
  readonly candidates: readonly NodeName[];
  readonly domainOf: ReadonlyMap<string, string>;
  readonly degree: number;
}

/** Weights are asked for many times a second, and there is one for each pair of controllers. */
const weights = new Map<string, string>();

function weightOf(shard: NodeName, node: NodeName): string {
  const pair = `${shard}\n${node}`;
  let weight = weights.get(pair);
  if (weight === undefined) {
    weight = createHash('sha256').update(pair).digest('hex');
    weights.set(pair, weight);
  }
  return weight;
}

/**
 * The standbys of a shard, the first in order first. None of them is in the holder's failure domain, and as long as there
 * are domains left no two of them share one.
 */
export function placeStandbys(input: PlacementInput): NodeName[] {
  const { shard, holder, candidates, domainOf, degree } = input;
  const ranked = candidates
    .filter((node) => node !== holder && domainOf.get(node) !== domainOf.get(holder))
    .map((node) => ({ node, weight: weightOf(shard, node) }))
    .sort((a, b) => (a.weight < b.weight ? 1 : -1))
    .map(({ node }) => node);
  const seen = new Set<string | undefined>();
  const apart: NodeName[] = [];
  const together: NodeName[] = [];
  for (const node of ranked) {
    const domain = domainOf.get(node);
    (seen.has(domain) ? together : apart).push(node);
    seen.add(domain);
  }
  return [...apart, ...together].slice(0, degree);
}
