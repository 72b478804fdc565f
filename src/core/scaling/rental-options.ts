/** Kinds of machines that can be rented for a job, and the choice among them. */
import { allowsMachine, maxTasksPerZone } from '../jobs/feasibility.js';
import type { Zone } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import { tasksThatFitInto } from './packing-bins.js';
import type { PendingDemand, RentalOption, ScalingInput } from './scaling-types.js';

/** Options whose prices differ by less than this factor count as equally expensive. */
const PRICE_TOLERANCE = 1.001;

/** The options for the job that the cloud has available now, in ascending order of price per task. */
export function rentalOptions(spec: JobSpec, input: ScalingInput): RentalOption[] {
  const options: (RentalOption & { cost: number })[] = [];
  const billingKinds = spec.spot ? [true, false] : [false];
  for (const type of input.types) {
    const tasksPerMachine = tasksThatFitInto({ free: type.capacity, room: input.roomOfNewMachine }, spec);
    if (tasksPerMachine === 0) continue;
    for (const zone of type.zones) {
      for (const spot of billingKinds) {
        if (!allowsMachine(spec, { type: type.name, zone, spot })) continue;
        if (!input.isAvailable(type.name, zone, spot)) continue;
        options.push({ type, zone, spot, cost: priceOf({ type, spot }) / tasksPerMachine });
      }
    }
  }
  return options.sort((a, b) => a.cost - b.cost);
}

/**
 * The cheapest option that the demand's zone rules allow; null where they allow none. `options` are in ascending
 * order of price per task. A later option whose machine costs no more is preferred if its zone has fewer machines, so
 * that the fleet is spread over the zones.
 */
export function chooseRentalOption(
  options: readonly RentalOption[],
  demand: PendingDemand,
  machinesPerZone: ReadonlyMap<Zone, number>,
): RentalOption | null {
  const maxPerZone = maxTasksPerZone(demand.spec);
  let chosen: RentalOption | null = null;
  for (const option of options) {
    const { zone } = option;
    if (demand.zone !== null && zone !== demand.zone) continue;
    if ((demand.tasksPerZone.get(zone) ?? 0) >= maxPerZone) continue;
    if (chosen !== null && priceOf(option) > priceOf(chosen) * PRICE_TOLERANCE) continue;
    if (chosen === null || (machinesPerZone.get(zone) ?? 0) < (machinesPerZone.get(chosen.zone) ?? 0))
      chosen = option;
  }
  return chosen;
}

function priceOf({ type, spot }: Pick<RentalOption, 'type' | 'spot'>): number {
  return spot ? type.spotPrice : type.price;
}
