/**
 * Machines that another controller answers in their owner's place. Those that it has answered for a while follow it:
 * their owner does not reach them.
 */
import type { LiveNode } from '../../core/slices.js';
import type { MachineName, MachineRecord, NodeName, MonotonicMs, FencingToken } from '../../core/types.js';
import type { Context } from '../context.js';

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

interface Strayed {
  /** Under another token everything begins anew. */
  readonly token: FencingToken;
  readonly since: MonotonicMs;
}

/** Keeps track of machines that do not reach their owner. */
export class StrayedMachines {
  private readonly substituted = new Map<MachineName, Strayed>();
  /**
   * When a machine last turned to another controller though its owner lives. One that is heard and does not hear goes
   * round all of them: moved to another slice it would be judged anew, and given work once more.
   */
  private readonly strayedAt = new Map<MachineName, MonotonicMs>();
  private readonly unfitUntil = new Map<string, MonotonicMs>();

  constructor(private readonly ctx: Context) {}

  /** Whether the controller reaches its workers, as far as is known. */
  isFit(node: string): boolean {
    return (this.unfitUntil.get(node) ?? 0) < this.ctx.clock.now();
  }

  /** Whether the machine has turned to another controller of late. */
  hasStrayed(name: MachineName): boolean {
    return this.strayedAt.has(name);
  }

  /** Takes in who answers which machine now; the machines that follow those who answer them. */
  update(live: readonly LiveNode[]): MachineMove[] {
    const { ctx } = this;
    const moves: MachineMove[] = [];
    const reached = new Map<string, number>();
    const lost = new Map<string, number>();
    for (const machine of ctx.view.machines.values()) {
      if (machine.phase === 'booting') continue;
      const node = ctx.substituteOf(machine);
      const holder = ctx.holderOf(machine);
      const count = node === null ? reached : lost;
      if (holder !== null) count.set(holder, (count.get(holder) ?? 0) + 1);
      if (node === null || holder === null) this.substituted.delete(machine.name);
      else if (this.follows(machine)) {
        const to = live.find((n) => n.node === node);
        if (to === undefined) continue;
        this.substituted.delete(machine.name);
        moves.push({ machine, to: to.node });
      }
    }
    this.forgetOld();
    this.judge(reached, lost);
    return moves;
  }

  /** Whether the machine has been answered by another than its owner for so long that it is to follow. */
  private follows(machine: MachineRecord): boolean {
    const { ctx } = this;
    const now = ctx.clock.now();
    const token = ctx.view.tokenOf(machine);
    const before = this.substituted.get(machine.name);
    const since = before?.token === token ? before.since : now;
    this.substituted.set(machine.name, { since, token });
    this.strayedAt.set(machine.name, now);
    return now - since > ctx.settings.workers.report_s * 1000 * FOLLOWS_INTERVALS;
  }

  private forgetOld(): void {
    const { ctx } = this;
    const now = ctx.clock.now();
    for (const [name, at] of this.strayedAt)
      if (now - at > HOP_MS * ctx.settings.nodes || !ctx.view.machines.has(name)) this.strayedAt.delete(name);
  }

  private judge(reached: ReadonlyMap<string, number>, lost: ReadonlyMap<string, number>): void {
    const until = (this.ctx.clock.now() + UNFIT_MS) as MonotonicMs;
    for (const [node, machines] of lost)
      if (machines >= FEW_MACHINES && !reached.has(node)) this.unfitUntil.set(node, until);
  }
}
