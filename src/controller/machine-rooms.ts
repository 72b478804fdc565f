/** What the messages about machines leave for further tasks: their records, and the heartbeats of their agents. */
import { MAX_LISTED_TASKS_BYTES, allocatedTasksBytes, listedTaskBytes } from '../core/agents/report-size.js';
import { taskKey } from '../core/agents/task-key.js';
import type { Heartbeat } from '../core/model/heartbeats.js';
import type { MachineRecord } from '../core/model/machines.js';
import type { MachineRoom } from '../core/records/machine-room.js';
import type { RecordBudget } from './record-budget.js';

/** Bytes that tasks which are not in a machine's record take in one of its heartbeats. */
interface UnrecordedTasks {
  readonly machine: MachineRecord;
  readonly bytes: number;
}

/**
 * Computes the room of machines. Records and heartbeats are never changed in place, so what is computed for one stays
 * valid for as long as it exists.
 */
export class MachineRooms {
  /** Bytes that the allocated tasks of a record take in a heartbeat. */
  private readonly allocatedBytes = new WeakMap<MachineRecord, number>();
  private readonly unrecordedTasks = new WeakMap<Heartbeat, UnrecordedTasks>();

  constructor(private readonly recordBudget: RecordBudget) {}

  /**
   * What the machine's messages have left. Its agent lists the tasks of the record and those of its newest heartbeat that
   * have left the record, until it has forgotten them; null if no heartbeat is known.
   */
  roomOf(machine: MachineRecord, heartbeat: Heartbeat | null): MachineRoom {
    const listedBytes =
      this.allocatedBytesOf(machine) + (heartbeat === null ? 0 : this.unrecordedBytesOf(machine, heartbeat));
    return {
      recordBytes: this.recordBudget.bytesLeft(machine),
      reportBytes: Math.max(0, MAX_LISTED_TASKS_BYTES - listedBytes),
    };
  }

  /** What the messages of a machine that is yet to be rented leave for its first tasks. */
  roomOfNewMachine(): MachineRoom {
    return { recordBytes: this.recordBudget.bytesLeftOnNewMachine(), reportBytes: MAX_LISTED_TASKS_BYTES };
  }

  private allocatedBytesOf(machine: MachineRecord): number {
    let bytes = this.allocatedBytes.get(machine);
    if (bytes === undefined) {
      bytes = machine.placed.reduce((sum, allocation) => sum + allocatedTasksBytes(allocation), 0);
      this.allocatedBytes.set(machine, bytes);
    }
    return bytes;
  }

  private unrecordedBytesOf(machine: MachineRecord, heartbeat: Heartbeat): number {
    const known = this.unrecordedTasks.get(heartbeat);
    if (known?.machine === machine) return known.bytes;
    const bytes = heartbeat.tasks.length === 0 ? 0 : unrecordedBytes(machine, heartbeat);
    this.unrecordedTasks.set(heartbeat, { machine, bytes });
    return bytes;
  }
}

function unrecordedBytes(machine: MachineRecord, heartbeat: Heartbeat): number {
  const recorded = new Set<string>();
  for (const { job, attempt, tasks } of machine.placed)
    for (const index of tasks) recorded.add(taskKey(job, index, attempt));
  let bytes = 0;
  for (const { job, index, attempt } of heartbeat.tasks)
    if (!recorded.has(taskKey(job, index, attempt))) bytes += listedTaskBytes(job, index, attempt);
  return bytes;
}
