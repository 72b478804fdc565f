/** Sets of demands reduced to their minimal ones, for questions about many demands at once. */
import { fitsWithin, type ResourceVector } from './resources.js';

/**
 * The minimal demands of a set: those that exceed no other in every resource. What fits none of them fits no demand of
 * the set, so that the cost of a question does not depend on the number of equal or larger demands.
 */
export class MinimalDemands {
  private minimal: ResourceVector[] = [];

  constructor(demands: Iterable<ResourceVector> = []) {
    for (const demand of demands) this.add(demand);
  }

  /** Adds a demand to the set. */
  add(demand: ResourceVector): void {
    if (this.anyWithin(demand)) return;
    this.minimal = this.minimal.filter((known) => !fitsWithin(demand, known));
    this.minimal.push(demand);
  }

  /** Whether at least one demand of the set fits into the resources; for a demand: whether one is no larger. */
  anyWithin(resources: ResourceVector): boolean {
    for (const demand of this.minimal) if (fitsWithin(demand, resources)) return true;
    return false;
  }
}
