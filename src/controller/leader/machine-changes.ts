/** Changes to machine records that only the leader makes. */
import type { MachineName, NodeName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { key } from '../../core/records/keys.js';
import type { WriteOperation } from '../../io/state/state-messages.js';
import type { ControllerContext } from '../controller-context.js';
import type { UnregisteredMachine } from './unregistered-machines.js';

/** The first record of a machine. Its floor is above the highest fencing token that the machine's agent has seen. */
export function newMachineRecord(
  context: ControllerContext,
  name: MachineName,
  { type, zone, spot, token }: UnregisteredMachine,
  owner: NodeName,
): MachineRecord {
  return {
    name,
    type,
    zone,
    spot,
    owner,
    floor: token + 1,
    phase: 'booting',
    placed: [],
    since: context.clock.wallClock(),
  };
}

/** The write that marks a machine for release. Its tasks stay allocated until the cloud confirms the release. */
export function markForRelease(machine: MachineRecord): WriteOperation {
  const value: MachineRecord = { ...machine, phase: 'releasing' };
  return { key: key.machine(machine.name), value, reason: 'return' };
}

/** Whether the machine is marked for release. */
export function isMarkedForRelease(machine: MachineRecord): boolean {
  return machine.phase === 'releasing';
}
