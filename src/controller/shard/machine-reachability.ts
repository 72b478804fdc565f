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

/** Time that an agent spends on a controller that does not answer before it turns to the next one. */
const FAILOVER_STEP_MS = AGENT_ANSWER_TIMEOUT_MS + AGENT_FAILOVER_PAUSE_MS;
/** Allowance for delays of the network and of busy processes while an agent turns to the next controller. */
const FAILOVER_SLACK_MS = 1500;
/** Allowance for delays of the network and of busy processes while an agent tries every controller. */
const FULL_FAILOVER_SLACK_MS = 3000;
/** From this number of other silent machines in a zone on, their silence is taken to have a common cause. */
const MIN_CORRELATED_PEERS = 3;
/**
 * Age of the state service's last answer up to which the service counts as reachable although a later request has
 * failed. While it is unreachable, the silence of machines is not evaluated.
 */
const STATE_FRESH_MS = 1000;

/** The owned machines of a zone, without those that are booting. */
interface ZoneReachability {
  machines: number;
  /** Whether at least one of the machines has sent heartbeats without a gap until now. */
  isResponding: boolean;
}

/** Decides which silent machines are unreachable. The zones are evaluated at most once a pass. */
export class MachineReachability {
  /** The evaluated zones by name; null until they are evaluated in the present pass. */
  private zones: ReadonlyMap<Zone, ZoneReachability> | null = null;

  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
  ) {}

  /** Discards the evaluation of the zones by earlier passes. */
  beginPass(): void {
    this.zones = null;
  }

  /**
   * Whether the machine has been silent for longer than its agent needs to turn to another controller, and no
   * controller lists it as proxied. Silence does not prove that the machine's tasks have ended: the machine is released
   * to the cloud, and its tasks are freed only once the cloud has answered.
   */
  isUnreachable(machine: MachineRecord, session: AgentSession): boolean {
    if (!this.canEvaluate(machine, session)) return false;
    const { settings, clock } = this.context;
    const silentMs = clock.now() - session.lastContactAt;
    // An agent that has not pushed a heartbeat to this owner yet may have to try every other controller first.
    const steps = session.lastPushedAt === null ? settings.controllerCount : 1;
    if (silentMs < this.failoverDelayMs(steps)) return false;
    this.zones ??= this.evaluateZones();
    const zone = this.zones.get(machine.zone);
    if (zone?.isResponding === true) return true;
    return silentMs > this.maxPartitionSilenceMs(machine, zone);
  }

  private canEvaluate(machine: MachineRecord, session: AgentSession): boolean {
    const { context } = this;
    if (machine.phase === 'releasing' || context.ownership.proxyOf(machine) !== null) return false;
    if (machine.phase === 'booting' && session.heartbeat === null) return false;
    return context.state.isReachable(STATE_FRESH_MS);
  }

  /**
   * Longest time until an agent that loses its owner's answers has reached another controller, where `steps`
   * controllers do not answer.
   */
  private failoverDelayMs(steps: number): number {
    return this.maxHeartbeatIntervalMs() + steps * FAILOVER_STEP_MS + FAILOVER_SLACK_MS;
  }

  private maxHeartbeatIntervalMs(): number {
    return MAX_HEARTBEAT_JITTER * this.context.settings.agentTimings.report_s * 1000;
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
   * Whether the machine's heartbeats have arrived without a gap until now, for longer than a failover takes. A recent
   * heartbeat alone is not enough: when a partition ends, the first machine that is back shows nothing about the
   * others.
   */
  private isResponding({ lastContactAt, uninterruptedSince }: AgentSession): boolean {
    const now = this.context.clock.now();
    const heartbeatIntervalMs = this.context.settings.agentTimings.report_s * 1000;
    if (uninterruptedSince === null || now - uninterruptedSince <= this.failoverDelayMs(1)) return false;
    return now - lastContactAt < heartbeatIntervalMs * FRESH_HEARTBEAT_INTERVALS;
  }

  /**
   * Longest silence of a machine whose whole zone is silent, or that is alone in its zone: a partition is then the more
   * likely cause. The time allows the agent to try every controller and one of them to list the machine as proxied. The
   * length of a lease is added, since the machine may be back at once while a replacement must boot and fetch images.
   * Where several machines are silent, the boot time of a replacement is added, too; machines that have failed are
   * listed as failed by the cloud.
   */
  private maxPartitionSilenceMs(machine: MachineRecord, zone: ZoneReachability | undefined): number {
    const { settings, view } = this.context;
    const peers = (zone?.machines ?? 0) - (machine.phase === 'booting' ? 0 : 1);
    const bootS = peers >= MIN_CORRELATED_PEERS ? (view.typesByName.get(machine.type)?.bootS ?? 0) : 0;
    const fullFailoverMs =
      this.maxHeartbeatIntervalMs() + settings.controllerCount * FAILOVER_STEP_MS + FULL_FAILOVER_SLACK_MS;
    return fullFailoverMs + (settings.agentTimings.lease_s + bootS) * 1000;
  }
}
