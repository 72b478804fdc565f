/** Remembers for which demands a scaling plan has found no bin, so that equal and larger ones are not searched again. */
import { MinimalDemands } from '../model/minimal-demands.js';
import type { PendingDemand } from './scaling-types.js';

/** Which bins a search considers; the shard is that of the demand. */
export type BinScope = 'own_up' | 'spare' | 'own' | 'any';

/**
 * Demands for which no bin of a scope has room. While a plan is packed, the free resources of a bin only shrink, so that
 * a demand that found none finds none later, unless bins are added to the scope.
 */
export class ExhaustedBins {
  private readonly demandsBySearch = new Map<string, MinimalDemands>();

  /** Whether an earlier search shows that no bin of the scope can take a task of the demand. */
  covers(demand: PendingDemand, scope: BinScope): boolean {
    return this.demandsBySearch.get(searchKey(demand, scope))?.anyWithin(demand.spec.demand) === true;
  }

  /** Records that no bin of the scope can take a task of the demand. */
  record(demand: PendingDemand, scope: BinScope): void {
    const search = searchKey(demand, scope);
    const known = this.demandsBySearch.get(search);
    if (known === undefined) this.demandsBySearch.set(search, new MinimalDemands([demand.spec.demand]));
    else known.add(demand.spec.demand);
  }

  /** Forgets the searches of all scopes, after a bin was added or has changed its shard. */
  clear(): void {
    this.demandsBySearch.clear();
  }
}

/** Two searches with the same key consider the same bins, whatever their demand. */
function searchKey(
  { spec, shard, zone, leavesWholeMachinesToGangs }: PendingDemand,
  scope: BinScope,
): string {
  const { types, zone: jobZone, spot } = spec;
  return JSON.stringify([scope, shard, zone, leavesWholeMachinesToGangs, types, jobZone, spot]);
}
