/** The bins that a scaling plan packs tasks into: machines that exist, are being rented or are to be rented. */
import type { NodeName } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { MinimalDemands } from '../model/minimal-demands.js';
import { addResources, tasksThatFit, type ResourceVector } from '../model/resources.js';
import { roomAfter, tasksWithinRoom, type MachineRoom } from '../records/machine-room.js';
import type { PackingBin, RentalOption, ScalingInput } from './scaling-types.js';

/** A bin whose machine has a record. */
export type MachineBin = PackingBin & { readonly machine: MachineRecord };

/** Bins of all usable machines, followed by those of the machines that are being rented. */
export function existingBins(input: ScalingInput): PackingBin[] {
  const bins: PackingBin[] = [];
  for (const machine of input.machines) if (input.isUsable(machine)) bins.push(machineBin(machine, input));
  const types = new Map(input.types.map((type) => [type.name, type]));
  for (const { type: typeName, zone, spot, owners } of input.rentals) {
    const type = types.get(typeName);
    if (type === undefined) continue;
    for (const shard of owners) bins.push(rentalBin({ type, zone, spot }, shard, input.roomOfNewMachine));
  }
  return bins;
}

/** The bin of `count` machines that are being rented or are to be rented, with all their capacity free. */
export function rentalBin(
  { type, zone, spot }: RentalOption,
  shard: NodeName,
  room: MachineRoom,
  count = 1,
): PackingBin {
  return {
    machine: null,
    count,
    type: type.name,
    zone,
    spot,
    isEmpty: false,
    shard,
    free: type.capacity,
    room,
    plannedTasks: 0,
  };
}

/**
 * How many tasks of the job each machine of the bin can take, by its free resources and by its messages; the job's
 * constraints are checked separately.
 */
export function tasksThatFitInto({ free, room }: Pick<PackingBin, 'free' | 'room'>, spec: JobSpec): number {
  return Math.min(tasksThatFit(spec.demand, free), tasksWithinRoom(room, spec, false));
}

/**
 * Bins that can take a task of at least one of the demands. Empty bins are kept even if they cannot, since their
 * machines may be released.
 */
export function candidateBins(bins: readonly PackingBin[], demands: readonly ResourceVector[]): PackingBin[] {
  const minimal = new MinimalDemands(demands);
  return bins.filter((bin) => bin.isEmpty || minimal.anyWithin(bin.free));
}

/**
 * Packs tasks into a bin, machine by machine, and returns what becomes of the bin: machines of a group that get
 * different numbers of tasks are no longer equal. `tasks` is at most what fits into all machines of the bin.
 */
export function packIntoBin(bin: PackingBin, spec: JobSpec, tasks: number): PackingBin[] {
  const { demand } = spec;
  if (bin.count === 1) {
    bin.free = addResources(bin.free, demand, -tasks);
    bin.room = roomAfter(bin.room, spec, tasks, false);
    bin.plannedTasks += tasks;
    return [bin];
  }
  const perMachine = Math.min(tasks, tasksThatFitInto(bin, spec));
  const full = Math.floor(tasks / perMachine);
  const rest = tasks - full * perMachine;
  const untouched = bin.count - full - Math.sign(rest);
  const plannedBefore = bin.plannedTasks / bin.count;
  const part = (count: number, tasksOnEach: number): PackingBin => ({
    ...bin,
    count,
    free: addResources(bin.free, demand, -tasksOnEach),
    room: roomAfter(bin.room, spec, tasksOnEach, false),
    plannedTasks: (plannedBefore + tasksOnEach) * count,
  });
  return [part(full, perMachine), part(Math.sign(rest), rest), part(untouched, 0)].filter(
    ({ count }) => count > 0,
  );
}

/** Whether the bin's machine is up. */
export function isUp(bin: PackingBin): bin is MachineBin {
  return bin.machine?.phase === 'up';
}

function machineBin(machine: MachineRecord, { totals, roomOf }: ScalingInput): PackingBin {
  return {
    machine,
    count: 1,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    isEmpty: machine.placed.length === 0,
    shard: machine.owner,
    free: totals.freeByMachine.get(machine.name)!,
    room: roomOf(machine),
    plannedTasks: 0,
  };
}
