/** Resource vectors: demands, capacities and their arithmetic in exact integers. */

/**
 * Amounts of the three resources in whole millionths, so that adding and taking away loses nothing:
 * [cpu, memory in GB, gpu].
 */
export type ResourceVector = readonly [number, number, number];
/** Amounts are whole numbers of this part of a unit. */
export const MICRO_UNITS = 1_000_000;
/** Index of the CPUs in amounts. */
export const CPU = 0;
/** Index of the memory. */
export const MEMORY = 1;
/** Index of the GPUs. */
export const GPU = 2;
/** A demand is rounded up and a capacity down, so no machine is ever promised more than it has. */
export const demandVector = (cpus: number, memoryGb: number, gpus: number): ResourceVector => [
  Math.ceil(cpus * MICRO_UNITS - 1e-3),
  Math.ceil(memoryGb * MICRO_UNITS - 1e-3),
  Math.ceil(gpus * MICRO_UNITS - 1e-3),
];
/** A machine's capacity, rounded down. */
export const capacityVector = (cpus: number, memoryGb: number, gpus: number): ResourceVector => [
  Math.floor(cpus * MICRO_UNITS + 1e-3),
  Math.floor(memoryGb * MICRO_UNITS + 1e-3),
  Math.floor(gpus * MICRO_UNITS + 1e-3),
];
/** The sum of `a` and so many times `b`. */
export const addResources = (a: ResourceVector, b: ResourceVector, times = 1): ResourceVector => [
  a[0] + b[0] * times,
  a[1] + b[1] * times,
  a[2] + b[2] * times,
];
/** Whether a need fits into the room, in every resource. */
export const fitsWithin = (need: ResourceVector, room: ResourceVector) =>
  need[0] <= room[0] && need[1] <= room[1] && need[2] <= room[2];
/** How many times the need fits into the room. */
export const tasksThatFit = (need: ResourceVector, room: ResourceVector): number => {
  let n = Number.POSITIVE_INFINITY;
  for (const r of [CPU, MEMORY, GPU] as const)
    if (need[r] > 0) n = Math.min(n, Math.max(0, Math.floor(room[r] / need[r])));
  return n;
};
/** No amount of anything. */
export const NO_RESOURCES: ResourceVector = [0, 0, 0];
