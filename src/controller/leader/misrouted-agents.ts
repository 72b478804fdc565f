/**
 * Detects misrouted agents: those that do not reach their machine's owner, so that another controller answers their
 * heartbeats as a proxy. A machine whose agent stays misrouted is moved to the shard of the proxy.
 */
import { AGENT_ANSWER_TIMEOUT_MS, AGENT_FAILOVER_PAUSE_MS } from '../../core/agents/agent-timing.js';
import { addToCount } from '../../core/collections.js';
import type { MachineName, NodeName, FencingToken } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { monotonicMs, type MonotonicMs } from '../../core/model/time.js';
import type { MachineMove } from '../../core/scaling/scaling-types.js';
import type { LiveController } from '../../core/state/shard-assignment.js';
import type { ControllerContext } from '../controller-context.js';

/** Allowance for delays while an agent fails over to the next controller. */
const FAILOVER_SLACK_MS = 1000;
/** Longest time from an unanswered heartbeat to the arrival of the agent's next one at another controller. */
const MAX_FAILOVER_MS = AGENT_ANSWER_TIMEOUT_MS + AGENT_FAILOVER_PAUSE_MS + FAILOVER_SLACK_MS;
/** A machine is moved to its proxy's shard once it has had a proxy for this many heartbeat intervals. */
const INTERVALS_BEFORE_MOVE = 1.6;
/** A controller that reaches none of its machines counts as cut off from its agents if it has at least this many. */
const MIN_UNREACHABLE_MACHINES = 2;
/** How long a controller that is cut off from its agents is assigned no shards. */
const CUT_OFF_MS = 25_000;

interface ProxiedMachine {
  /** The machine's fencing token when it was last seen with a proxy; under another token `since` starts over. */
  readonly token: FencingToken;
  readonly since: MonotonicMs;
}

/** Tracks machines whose agents do not reach their owner, and controllers that do not reach their agents. */
export class MisroutedAgents {
  private readonly proxiedMachines = new Map<MachineName, ProxiedMachine>();
  /**
   * When each machine was last seen with a proxy. An agent that can send but not receive tries all controllers in turn.
   * If its machine were moved to another shard, the new owner would start over in determining whether it has failed,
   * and place tasks on it again.
   */
  private readonly lastProxiedAt = new Map<MachineName, MonotonicMs>();
  private readonly cutOffUntil = new Map<string, MonotonicMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Whether the controller reaches its agents; true unless it was found to be cut off from them recently. */
  canReachAgents(node: string): boolean {
    return (this.cutOffUntil.get(node) ?? 0) < this.context.clock.now();
  }

  /** Whether the machine's agent has recently turned to a controller other than its owner. */
  isMisrouted(name: MachineName): boolean {
    return this.lastProxiedAt.has(name);
  }

  /** Records which machines have proxies now. Returns the machines to move, each to the shard of its proxy. */
  update(live: readonly LiveController[]): MachineMove[] {
    const { context } = this;
    const moves: MachineMove[] = [];
    const reachableByHolder = new Map<string, number>();
    const unreachableByHolder = new Map<string, number>();
    for (const machine of context.view.machines.values()) {
      if (machine.phase === 'booting') continue;
      const proxy = context.ownership.proxyOf(machine);
      const holder = context.ownership.holderOf(machine);
      if (holder !== null) addToCount(proxy === null ? reachableByHolder : unreachableByHolder, holder, 1);
      if (proxy === null || holder === null) this.proxiedMachines.delete(machine.name);
      else if (this.shouldMoveToProxy(machine)) {
        const to = liveNode(live, proxy);
        if (to === null) continue;
        this.proxiedMachines.delete(machine.name);
        moves.push({ machine, to });
      }
    }
    this.expireLastProxied();
    this.updateCutOffControllers(reachableByHolder, unreachableByHolder);
    return moves;
  }

  /** Records that the machine has a proxy. Returns whether it has had one for long enough to be moved to its shard. */
  private shouldMoveToProxy(machine: MachineRecord): boolean {
    const { clock, view, settings } = this.context;
    const now = clock.now();
    const token = view.fencingTokenOf(machine);
    const before = this.proxiedMachines.get(machine.name);
    const since = before?.token === token ? before.since : now;
    this.proxiedMachines.set(machine.name, { since, token });
    this.lastProxiedAt.set(machine.name, now);
    return now - since > settings.agentTimings.report_s * 1000 * INTERVALS_BEFORE_MOVE;
  }

  /** Forgets machines that have had no proxy for longer than an agent takes to try all controllers. */
  private expireLastProxied(): void {
    const { clock, settings, view } = this.context;
    const now = clock.now();
    const maxAgeMs = MAX_FAILOVER_MS * settings.controllerCount;
    for (const [name, proxiedAt] of this.lastProxiedAt)
      if (now - proxiedAt > maxAgeMs || !view.machines.has(name)) this.lastProxiedAt.delete(name);
  }

  private updateCutOffControllers(
    reachableByHolder: ReadonlyMap<string, number>,
    unreachableByHolder: ReadonlyMap<string, number>,
  ): void {
    const until = monotonicMs(this.context.clock.now() + CUT_OFF_MS);
    for (const [node, machines] of unreachableByHolder)
      if (machines >= MIN_UNREACHABLE_MACHINES && !reachableByHolder.has(node))
        this.cutOffUntil.set(node, until);
  }
}

function liveNode(live: readonly LiveController[], node: NodeName): NodeName | null {
  return live.find((controller) => controller.node === node)?.node ?? null;
}
