/** Resource vectors for demands and capacities, with exact integer arithmetic. */

/** Amounts of [CPUs, memory in GB, GPUs] in whole micro-units, so that addition and subtraction are exact. */
export type ResourceVector = readonly [number, number, number];

/** Micro-units in one unit of a resource. */
export const MICRO_UNITS = 1_000_000;

/** Index of the CPUs in a resource vector. */
export const CPU = 0;
/** Index of the memory in a resource vector. */
export const MEMORY = 1;
/** Index of the GPUs in a resource vector. */
export const GPU = 2;

/** The empty resource vector. */
export const NO_RESOURCES: ResourceVector = [0, 0, 0];

/** Tolerance in micro-units for the rounding errors of decimal fractions. */
const ROUNDING_TOLERANCE = 1e-3;

/** A demand, rounded up. Since capacities are rounded down, no machine is allocated beyond its capacity. */
export const demandVector = (cpus: number, memoryGb: number, gpus: number): ResourceVector => [
  Math.ceil(cpus * MICRO_UNITS - ROUNDING_TOLERANCE),
  Math.ceil(memoryGb * MICRO_UNITS - ROUNDING_TOLERANCE),
  Math.ceil(gpus * MICRO_UNITS - ROUNDING_TOLERANCE),
];

/** A machine's capacity, rounded down. */
export const capacityVector = (cpus: number, memoryGb: number, gpus: number): ResourceVector => [
  Math.floor(cpus * MICRO_UNITS + ROUNDING_TOLERANCE),
  Math.floor(memoryGb * MICRO_UNITS + ROUNDING_TOLERANCE),
  Math.floor(gpus * MICRO_UNITS + ROUNDING_TOLERANCE),
];

/** The sum of `amounts` and `times` times `added`. */
export const addResources = (amounts: ResourceVector, added: ResourceVector, times = 1): ResourceVector => [
  amounts[CPU] + added[CPU] * times,
  amounts[MEMORY] + added[MEMORY] * times,
  amounts[GPU] + added[GPU] * times,
];

/** Whether the demand fits into the free resources, for each resource. */
export const fitsWithin = (demand: ResourceVector, free: ResourceVector): boolean =>
  demand[CPU] <= free[CPU] && demand[MEMORY] <= free[MEMORY] && demand[GPU] <= free[GPU];

/** How many tasks of the demand fit into the free resources together; infinite for an empty demand. */
export function tasksThatFit(demand: ResourceVector, free: ResourceVector): number {
  let tasks = Number.POSITIVE_INFINITY;
  for (const resource of [CPU, MEMORY, GPU] as const) {
    if (demand[resource] <= 0) continue;
    tasks = Math.min(tasks, Math.max(0, Math.floor(free[resource] / demand[resource])));
  }
  return tasks;
}
