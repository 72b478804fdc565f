/** The bins that a scaling plan packs tasks into: machines that exist, are being rented or are to be rented. */
import type { NodeName } from '../model/ids.js';
import type { MachineRecord } from '../model/machines.js';
import { fitsWithin, type ResourceVector } from '../model/resources.js';
import type { RentalOption } from './rental-options.js';
import type { PackingBin, ScalingInput } from './scaling-types.js';

/** A bin whose machine has a record. */
export type MachineBin = PackingBin & { readonly machine: MachineRecord };

/** Bins of all usable machines, followed by those of the machines that are being rented. */
export function existingBins(input: ScalingInput): PackingBin[] {
  const bins: PackingBin[] = [];
  for (const machine of input.machines)
    if (input.isUsable(machine))
      bins.push(machineBin(machine, input.totals.freeByMachine.get(machine.name)!));
  const types = new Map(input.types.map((type) => [type.name, type]));
  for (const { type: typeName, zone, spot, owners } of input.rentals) {
    const type = types.get(typeName);
    if (type === undefined) continue;
    for (const shard of owners) bins.push(rentalBin({ type, zone, spot }, shard));
  }
  return bins;
}

/** The bin of a machine that is being rented or is to be rented, with all its capacity free. */
export function rentalBin({ type, zone, spot }: RentalOption, shard: NodeName): PackingBin {
  return {
    machine: null,
    type: type.name,
    zone,
    spot,
    isEmpty: false,
    shard,
    free: type.capacity,
    plannedTasks: 0,
  };
}

/**
 * Bins that can take a task of at least one of the demands. Empty bins are kept even if they cannot, since their
 * machines may be released.
 */
export function candidateBins(bins: readonly PackingBin[], demands: readonly ResourceVector[]): PackingBin[] {
  return bins.filter((bin) => bin.isEmpty || demands.some((demand) => fitsWithin(demand, bin.free)));
}

/** Whether the bin's machine is up. */
export function isUp(bin: PackingBin): bin is MachineBin {
  return bin.machine?.phase === 'up';
}

function machineBin(machine: MachineRecord, free: ResourceVector): PackingBin {
  return {
    machine,
    type: machine.type,
    zone: machine.zone,
    spot: machine.spot,
    isEmpty: machine.placed.length === 0,
    shard: machine.owner,
    free,
    plannedTasks: 0,
  };
}
