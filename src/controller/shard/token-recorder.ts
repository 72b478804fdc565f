/**
 * Decides when it is worth a write of its own to record that a machine has shown its fencing token.
 *
 * The leader moves a machine to another shard only once the machine's record shows that its agent has contact with its
 * owner (`heard`). Other changes of the record write the token along, but the record of a machine whose tasks neither
 * start nor end, such as one that runs services, may not change for days. After each restart of a controller, the tokens
 * of all its machines are new. They are recorded as far as jobs of other shards could use the machines, and in a fraction
 * of the write budget.
 */
import { hasShownToken, type AgentSession } from '../../core/agents/agent-session.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { MinimalDemands } from '../../core/model/minimal-demands.js';
import type { MonotonicMs } from '../../core/model/time.js';
import { startableTasks } from '../../core/scaling/pending-demand.js';
import type { ControllerContext } from '../controller-context.js';
import {
  CLEANUP_DELAY_EMPTY_MS,
  FULL_RECONCILE_INTERVAL_MS,
  MAX_CLEANUP_DELAY_MS,
  firstContactDelayMs,
} from './timing.js';

/** Time for which a job of another shard must have waited: most jobs start on a machine of their own shard by then. */
const MIN_WAIT_MS = 15_000;
/** Delay for a machine without room, which other shards get only to stop its arrays; most of them end by then. */
const BUSY_MACHINE_DELAY_MS = 30_000;
/** Fraction of this controller's write budget for tokens of machines in use; doubled while there is budget to spare. */
const WRITE_BUDGET_FRACTION = 0.1;
/** Most tokens of machines in use that are recorded at once. */
const MAX_BURST = 4;

/** Decides which tokens are recorded now. */
export class TokenRecorder {
  private demands = new MinimalDemands();
  private demandsUpdatedAt = Number.NEGATIVE_INFINITY;
  /** Number of machines in use whose tokens may be recorded now. */
  private allowance = MAX_BURST;
  private allowanceUpdatedAt: MonotonicMs;

  constructor(private readonly context: ControllerContext) {
    this.allowanceUpdatedAt = context.clock.now();
  }

  /** Adds to the number of tokens that may be recorded, for the time since the last pass. */
  beginPass(): void {
    const { clock, state } = this.context;
    const now = clock.now();
    const { writeRps, controllerCount } = state.limits;
    const fraction = state.hasSpareBudget ? 2 * WRITE_BUDGET_FRACTION : WRITE_BUDGET_FRACTION;
    const perSecond = (writeRps / controllerCount) * fraction;
    const added = ((now - this.allowanceUpdatedAt) / 1000) * perSecond;
    this.allowance = Math.min(MAX_BURST, this.allowance + added);
    this.allowanceUpdatedAt = now;
  }

  /** Whether the token is to be recorded in this pass; if so, it counts against the allowance. */
  isDue(machine: MachineRecord, session: AgentSession): boolean {
    if (!hasShownToken(session) || (machine.heard ?? 0) >= session.token) return false;
    const { clock, state } = this.context;
    const knownMs = clock.now() - session.firstHeartbeatAt!;
    // An empty machine is of use to any shard, and can be released.
    if (machine.placed.length === 0)
      return knownMs > firstContactDelayMs(state.hasSpareBudget, CLEANUP_DELAY_EMPTY_MS);
    if (this.allowance < 1 || !this.isWanted(machine, knownMs)) return false;
    this.allowance--;
    return true;
  }

  private isWanted(machine: MachineRecord, knownMs: number): boolean {
    const { allocations, state, view } = this.context;
    if (knownMs <= firstContactDelayMs(state.hasSpareBudget, MAX_CLEANUP_DELAY_MS)) return false;
    this.updateDemands();
    if (this.demands.anyWithin(allocations.current().freeByMachine.get(machine.name)!)) return true;
    // Machines that run only arrays are moved to stop them for others, or to divide the fleet anew.
    const runsOnlyArrays = machine.placed.every(({ kind }) => kind === 'array');
    if (!runsOnlyArrays || knownMs <= BUSY_MACHINE_DELAY_MS) return false;
    const type = view.typesByName.get(machine.type);
    return type !== undefined && this.demands.anyWithin(type.capacity);
  }

  /** Collects what the waiting jobs of other shards need. */
  private updateDemands(): void {
    const { allocations, clock, dependencies, ownership } = this.context;
    const now = clock.now();
    if (now - this.demandsUpdatedAt < FULL_RECONCILE_INTERVAL_MS) return;
    this.demandsUpdatedAt = now;
    this.demands = new MinimalDemands();
    const totals = allocations.current();
    const submittedBefore = clock.wallClock() - MIN_WAIT_MS;
    for (const job of dependencies.current().startable) {
      const { spec, phase, submitted } = job;
      if (phase !== 'active' || submitted > submittedBefore || ownership.ownsTeam(spec.team)) continue;
      if (startableTasks(job, totals.allocationsByJob.get(spec.id)) === 0) continue;
      if (totals.isWithinQuota(spec.team, spec.demand, 1)) this.demands.add(spec.demand);
    }
  }
}
