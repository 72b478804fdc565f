/** Distinguishes failed machines from machines that a network partition separates from their owner. */
import type { AgentSession } from '../../core/agents/agent-session.js';
import {
  AGENT_ANSWER_TIMEOUT_MS,
  AGENT_FAILOVER_PAUSE_MS,
  MAX_HEARTBEAT_JITTER,
} from '../../core/agents/agent-timing.js';
import type { Zone } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { ControllerContext } from '../controller-context.js';
import type { AgentSessions } from './agent-sessions.js';

/** A machine counts as available within this many heartbeat intervals after its last contact. */
export const FRESH_HEARTBEAT_INTERVALS = 2;

/** Time that an agent spends on one controller that does not answer. */
const HOP_MS = AGENT_ANSWER_TIMEOUT_MS + AGENT_FAILOVER_PAUSE_MS;
/** Allowance for delays of the network and of busy processes while an agent reaches the next controller. */
const HOP_SLACK_MS = 1500;
/** The same while an agent tries every controller. */
const FULL_CYCLE_SLACK_MS = 3000;
/** With this many other silent machines in a zone, the cause is taken to be common to them. */
const MIN_CORRELATED_PEERS = 3;
/** Nothing is concluded from silence without an answer of the state service within this time. */
const STATE_FRESH_MS = 1000;

/** The owned machines of a zone, as seen from here. */
interface ZoneReachability {
  machines: number;
  /** At least one machine has sent heartbeats without a gap until now. */
  isResponding: boolean;
}

/** Judges the silence of owned machines; zones are evaluated at most once a pass. */
export class MachineReachability {
  private zones: ReadonlyMap<Zone, ZoneReachability> | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
  ) {}

  /** Discards what earlier passes found out about zones. */
  beginPass(): void {
    this.zones = null;
  }

  /**
   * Whether the machine has been silent for longer than its agent needs to turn to another controller, and no controller
   * lists it as proxied. Silence proves nothing about the machine's tasks: the machine is released to the cloud, and only
   * the cloud's answer frees them.
   */
  isUnreachable(machine: MachineRecord, session: AgentSession): boolean {
    if (!this.canJudge(machine, session)) return false;
    const { settings, clock } = this.context;
    const silentMs = clock.now() - session.lastContactAt;
    // An agent that has not pushed a heartbeat to this owner yet may have to try every other controller first.
    const hops = session.lastPushedAt === null ? settings.nodes : 1;
    if (silentMs < this.failoverDelayMs(hops)) return false;
    this.zones ??= this.evaluateZones();
    const zone = this.zones.get(machine.zone);
    if (zone?.isResponding === true) return true;
    return silentMs > this.maxPartitionSilenceMs(machine, zone);
  }

  private canJudge(machine: MachineRecord, session: AgentSession): boolean {
    const { context } = this;
    if (machine.phase === 'releasing' || context.ownership.proxyOf(machine) !== null) return false;
    if (machine.phase === 'booting' && session.heartbeat === null) return false;
    return context.state.isReachable(STATE_FRESH_MS);
  }

  /** Time after which an agent that loses its owner's answers has reached another controller. */
  private failoverDelayMs(hops: number): number {
    return this.maxHeartbeatIntervalMs() + hops * HOP_MS + HOP_SLACK_MS;
  }

  private maxHeartbeatIntervalMs(): number {
    return MAX_HEARTBEAT_JITTER * this.context.settings.workers.report_s * 1000;
  }

  private evaluateZones(): ReadonlyMap<Zone, ZoneReachability> {
    const zones = new Map<Zone, ZoneReachability>();
    for (const machine of this.context.ownership.ownedMachines()) {
      if (machine.phase === 'booting') continue;
      const zone = zones.get(machine.zone) ?? { machines: 0, isResponding: false };
      zones.set(machine.zone, zone);
      zone.machines++;
      const isResponding = this.isResponding(this.sessions.current(machine));
      zone.isResponding ||= isResponding;
    }
    return zones;
  }

  /**
   * Whether heartbeats have arrived without a gap until now. When a partition ends, the first machine that is back shows
   * nothing about the others, so that a recent heartbeat alone is not enough.
   */
  private isResponding({ lastContactAt, uninterruptedSince }: AgentSession): boolean {
    const now = this.context.clock.now();
    const heartbeatIntervalMs = this.context.settings.workers.report_s * 1000;
    if (uninterruptedSince === null || now - uninterruptedSince <= this.failoverDelayMs(1)) return false;
    return now - lastContactAt < heartbeatIntervalMs * FRESH_HEARTBEAT_INTERVALS;
  }

  /**
   * How long a machine may be silent where its whole zone is, or where it is alone there: a partition is then the more
   * likely cause. Its agent is given time to try every controller and one of them to list it as proxied, and the length of
   * a lease, since the machine may be back at once while a replacement must boot and fetch images. With several silent
   * machines the boot of a replacement is added; those that have failed are listed as failed by the cloud.
   */
  private maxPartitionSilenceMs(machine: MachineRecord, zone: ZoneReachability | undefined): number {
    const { settings, view } = this.context;
    const peers = (zone?.machines ?? 0) - (machine.phase === 'booting' ? 0 : 1);
    const bootS = peers >= MIN_CORRELATED_PEERS ? (view.typesByName.get(machine.type)?.bootS ?? 0) : 0;
    const fullCycleMs = this.maxHeartbeatIntervalMs() + settings.nodes * HOP_MS + FULL_CYCLE_SLACK_MS;
    return fullCycleMs + (settings.workers.lease_s + bootS) * 1000;
  }
}
