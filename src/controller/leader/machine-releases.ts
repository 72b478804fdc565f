/** Releases the machines that are marked for release to the cloud, and then removes their records. */
import { LOG_EVENT } from '../../core/log-events.js';
import type { MachineName } from '../../core/model/ids.js';
import { key } from '../../core/records/keys.js';
import type { CloudClient } from '../../io/cloud/cloud-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import { BackgroundTask } from '../background-task.js';
import type { ControllerContext } from '../controller-context.js';
import type { LeaderTransactions } from './leader-transactions.js';
import { isMarkedForRelease } from './machine-changes.js';
import type { UnregisteredMachines } from './unregistered-machines.js';

/** Largest number of machines that the cloud releases per request. */
const MAX_MACHINES_PER_RELEASE = 100;

/** Dependencies of `MachineReleases`. */
export interface MachineReleasesOptions {
  readonly context: ControllerContext;
  readonly cloud: CloudClient;
  readonly transactions: LeaderTransactions;
  readonly unregisteredMachines: UnregisteredMachines;
}

/** Releases machines that are marked for release, one request at a time. */
export class MachineReleases {
  private readonly task: BackgroundTask;

  constructor(private readonly options: MachineReleasesOptions) {
    this.task = new BackgroundTask({
      log: options.context.log,
      failureEvent: LOG_EVENT.machineReleaseFailed,
    });
  }

  /** Starts to release the machines that are marked for it, unless a release is in progress. */
  start(): void {
    if (this.task.isRunning) return;
    const marked = [...this.options.context.view.machines.values()].filter(isMarkedForRelease);
    if (marked.length === 0) return;
    const names = marked.slice(0, MAX_MACHINES_PER_RELEASE).map((machine) => machine.name);
    this.task.start(() => this.release(names));
  }

  private async release(names: readonly MachineName[]): Promise<void> {
    const { context, cloud, transactions, unregisteredMachines } = this.options;
    if (!(await cloud.release(names))) return;
    unregisteredMachines.recordReleased(names);
    // The cloud has confirmed that the machines and everything on them no longer exist, so their records, and with them
    // the allocations of their tasks, can be removed.
    const recorded = names.filter((name) => context.view.machines.has(name));
    context.log.info({ machines: recorded }, LOG_EVENT.machinesReleased);
    await transactions.commitEach(
      recorded.map((name) => ({ key: key.machine(name), value: undefined, reason: 'return' })),
      REQUEST_PRIORITY.results,
    );
  }
}
