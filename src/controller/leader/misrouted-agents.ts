/**
 * Misrouted agents: machines whose heartbeats another controller answers as a proxy, because they do not reach their
 * owner. After a while such a machine is moved to the shard of its proxy.
 */
import { AGENT_ANSWER_TIMEOUT_MS, AGENT_FAILOVER_PAUSE_MS } from '../../core/agents/agent-timing.js';
import { addToCount } from '../../core/collections.js';
import type { MachineName, NodeName, FencingToken } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { monotonicMs, type MonotonicMs } from '../../core/model/time.js';
import type { MachineMove } from '../../core/scaling/scaling-types.js';
import type { LiveController } from '../../core/state/shard-assignment.js';
import type { ControllerContext } from '../controller-context.js';

/** Allowance for delays while an agent turns to the next controller. */
const FAILOVER_SLACK_MS = 1000;
/** Longest time from a heartbeat without an answer to the one that the next controller receives. */
const MAX_FAILOVER_MS = AGENT_ANSWER_TIMEOUT_MS + AGENT_FAILOVER_PAUSE_MS + FAILOVER_SLACK_MS;
/** A machine is moved to its proxy's shard after so many heartbeat intervals. */
const INTERVALS_BEFORE_MOVE = 1.6;
/** A controller that reaches none of at least so many machines counts as cut off from its agents. */
const MIN_LOST_MACHINES = 2;
/** For how long a controller that is cut off is given no shards. */
const CUT_OFF_MS = 25_000;

interface ProxiedMachine {
  /** The machine's fencing token then: under another one the time starts anew. */
  readonly token: FencingToken;
  readonly since: MonotonicMs;
}

/** Keeps track of machines that do not reach their owner, and of controllers that do not reach their agents. */
export class MisroutedAgents {
  private readonly proxiedMachines = new Map<MachineName, ProxiedMachine>();
  /**
   * When a machine was last seen with a proxy. An agent that sends but does not receive tries all controllers one after
   * the other; moved to another shard, it would be judged anew and given work once more.
   */
  private readonly lastProxiedAt = new Map<MachineName, MonotonicMs>();
  private readonly cutOffUntil = new Map<string, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Whether the controller reaches its agents, as far as is known. */
  canReachAgents(node: string): boolean {
    return (this.cutOffUntil.get(node) ?? 0) < this.context.clock.now();
  }

  /** Whether the machine has recently turned to another controller than its owner. */
  isMisrouted(name: MachineName): boolean {
    return this.lastProxiedAt.has(name);
  }

  /** Records which machines have proxies now, and returns the machines to move to the shards of their proxies. */
  update(live: readonly LiveController[]): MachineMove[] {
    const { context } = this;
    const moves: MachineMove[] = [];
    const reachedByHolder = new Map<string, number>();
    const lostByHolder = new Map<string, number>();
    for (const machine of context.view.machines.values()) {
      if (machine.phase === 'booting') continue;
      const proxy = context.ownership.proxyOf(machine);
      const holder = context.ownership.holderOf(machine);
      if (holder !== null) addToCount(proxy === null ? reachedByHolder : lostByHolder, holder, 1);
      if (proxy === null || holder === null) this.proxiedMachines.delete(machine.name);
      else if (this.shouldFollowProxy(machine)) {
        const to = liveNode(live, proxy);
        if (to === null) continue;
        this.proxiedMachines.delete(machine.name);
        moves.push({ machine, to });
      }
    }
    this.forgetReturned();
    this.updateCutOffControllers(reachedByHolder, lostByHolder);
    return moves;
  }

  /** Records that the machine has a proxy; whether it has had one for so long that it is to be moved. */
  private shouldFollowProxy(machine: MachineRecord): boolean {
    const { clock, view, settings } = this.context;
    const now = clock.now();
    const token = view.fencingTokenOf(machine);
    const before = this.proxiedMachines.get(machine.name);
    const since = before?.token === token ? before.since : now;
    this.proxiedMachines.set(machine.name, { since, token });
    this.lastProxiedAt.set(machine.name, now);
    return now - since > settings.workers.report_s * 1000 * INTERVALS_BEFORE_MOVE;
  }

  /** Forgets machines that have had no proxy for as long as an agent takes to try all controllers. */
  private forgetReturned(): void {
    const { clock, settings, view } = this.context;
    const now = clock.now();
    const maxAgeMs = MAX_FAILOVER_MS * settings.nodes;
    for (const [name, proxiedAt] of this.lastProxiedAt)
      if (now - proxiedAt > maxAgeMs || !view.machines.has(name)) this.lastProxiedAt.delete(name);
  }

  private updateCutOffControllers(
    reachedByHolder: ReadonlyMap<string, number>,
    lostByHolder: ReadonlyMap<string, number>,
  ): void {
    const until = monotonicMs(this.context.clock.now() + CUT_OFF_MS);
    for (const [node, machines] of lostByHolder)
      if (machines >= MIN_LOST_MACHINES && !reachedByHolder.has(node)) this.cutOffUntil.set(node, until);
  }
}

function liveNode(live: readonly LiveController[], node: NodeName): NodeName | null {
  return live.find((controller) => controller.node === node)?.node ?? null;
}
