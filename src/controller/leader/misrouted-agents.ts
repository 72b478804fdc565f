/**
 * Machines that another controller answers in their owner's place. Those that it has answered for a while follow it:
 * their owner does not reach them.
 */
import type { LiveController } from '../../core/state/shard-assignment.js';
import type { MachineName, NodeName, FencingToken } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { ControllerContext } from '../controller-context.js';

/** A worker that gets no answer is at the next controller so much later. */
const HOP_MS = 6000;
/** A machine follows after so many report intervals. */
const FOLLOWS_INTERVALS = 1.6;
/** A controller that reaches none of so many machines is given no slices for so long. */
const FEW_MACHINES = 2;
const UNFIT_MS = 25_000;

/** A machine that is to change its slice. */
export interface MachineMove {
  readonly machine: MachineRecord;
  readonly to: NodeName;
}

interface MisroutedAgent {
  /** Under another token everything begins anew. */
  readonly token: FencingToken;
  readonly since: MonotonicMs;
}

/** Keeps track of machines that do not reach their owner. */
export class MisroutedAgents {
  private readonly proxiedSince = new Map<MachineName, MisroutedAgent>();
  /**
   * When a machine last turned to another controller though its owner lives. One that is heard and does not hear goes
   * round all of them: moved to another slice it would be judged anew, and given work once more.
   */
  private readonly misroutedAt = new Map<MachineName, MonotonicMs>();
  private readonly unreachingUntil = new Map<string, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Whether the controller reaches its workers, as far as is known. */
  canReachAgents(node: string): boolean {
    return (this.unreachingUntil.get(node) ?? 0) < this.context.clock.now();
  }

  /** Whether the machine has turned to another controller of late. */
  isMisrouted(name: MachineName): boolean {
    return this.misroutedAt.has(name);
  }

  /** Takes in who answers which machine now; the machines that follow those who answer them. */
  update(live: readonly LiveController[]): MachineMove[] {
    const { context } = this;
    const moves: MachineMove[] = [];
    const reached = new Map<string, number>();
    const lost = new Map<string, number>();
    for (const machine of context.view.machines.values()) {
      if (machine.phase === 'booting') continue;
      const node = context.ownership.proxyOf(machine);
      const holder = context.ownership.holderOf(machine);
      const count = node === null ? reached : lost;
      if (holder !== null) count.set(holder, (count.get(holder) ?? 0) + 1);
      if (node === null || holder === null) this.proxiedSince.delete(machine.name);
      else if (this.shouldFollowProxy(machine)) {
        const to = live.find((n) => n.node === node);
        if (to === undefined) continue;
        this.proxiedSince.delete(machine.name);
        moves.push({ machine, to: to.node });
      }
    }
    this.forgetOld();
    this.updateReachability(reached, lost);
    return moves;
  }

  /** Whether the machine has been answered by another than its owner for so long that it is to follow. */
  private shouldFollowProxy(machine: MachineRecord): boolean {
    const { context } = this;
    const now = context.clock.now();
    const token = context.view.fencingTokenOf(machine);
    const before = this.proxiedSince.get(machine.name);
    const since = before?.token === token ? before.since : now;
    this.proxiedSince.set(machine.name, { since, token });
    this.misroutedAt.set(machine.name, now);
    return now - since > context.settings.workers.report_s * 1000 * FOLLOWS_INTERVALS;
  }

  private forgetOld(): void {
    const { context } = this;
    const now = context.clock.now();
    for (const [name, at] of this.misroutedAt)
      if (now - at > HOP_MS * context.settings.nodes || !context.view.machines.has(name))
        this.misroutedAt.delete(name);
  }

  private updateReachability(reached: ReadonlyMap<string, number>, lost: ReadonlyMap<string, number>): void {
    const until = (this.context.clock.now() + UNFIT_MS) as MonotonicMs;
    for (const [node, machines] of lost)
      if (machines >= FEW_MACHINES && !reached.has(node)) this.unreachingUntil.set(node, until);
  }
}
