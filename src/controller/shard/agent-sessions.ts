/**
 * Sessions of this controller with the agents of its machines: replies to heartbeats, and direct messages that carry
 * fencing tokens and stop commands. Sessions are kept in memory only: losing them causes delay, never a wrong decision.
 */
import { agentCommands } from '../../core/agents/agent-commands.js';
import {
  hasShownToken,
  newAgentSession,
  recordHeartbeat,
  type AgentSession,
} from '../../core/agents/agent-session.js';
import { confirmedExits } from '../../core/agents/confirmed-exits.js';
import type { DesiredState } from '../../core/agents/desired-state.js';
import { taskKey } from '../../core/agents/task-key.js';
import { LOG_EVENT } from '../../core/log-events.js';
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import { taskId, type FencingToken, type MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { AgentGateway } from '../../io/agents/agent-client.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';

/** A stop command is not sent directly again within this time: the agent's next heartbeat shows its effect. */
const STOP_RESEND_INTERVAL_MS = 4000;
/** Pause after an answered direct message before the next one to the same agent. */
const MESSAGE_INTERVAL_MS = 100;
/** Pause after an unanswered direct message before the next one to the same agent. */
const MESSAGE_RETRY_INTERVAL_MS = 1500;
/** Epoch of a newly started agent, assumed while no heartbeat of the agent is known. */
const FIRST_AGENT_EPOCH = 1;

/** A newly observed state of a machine that a reconcile pass has to handle. */
export interface MachineObservation {
  readonly machine: MachineName;
  /** Whether this was the machine's first heartbeat of the session: tasks may now be placed on it. */
  readonly isNewlyAvailable: boolean;
}

/** Called with each observation that needs a reconcile pass of its machine. */
export type MachineObservationListener = (observation: MachineObservation) => void;

/** Owns the agent sessions of this controller's machines. */
export class AgentSessions {
  private readonly sessions = new Map<MachineName, AgentSession>();
  /** Machines with a direct message in flight, or in the pause after one. */
  private readonly inFlight = new Set<MachineName>();
  /** Time at which each stop command was last sent directly, by machine and task; the oldest first. */
  private readonly stopSentAt = new Map<string, MonotonicMs>();
  private readonly heartbeatIntervalMs: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly agents: AgentGateway,
    private readonly health: HealthTracker,
    private readonly onObservation: MachineObservationListener,
  ) {
    this.heartbeatIntervalMs = context.settings.agentTimings.report_s * 1000;
  }

  /** Names of the machines with a session. */
  machineNames(): Iterable<MachineName> {
    return this.sessions.keys();
  }

  /** The machine's session under its present fencing token; it replaces a session under another token. */
  current(machine: MachineRecord): AgentSession {
    const token = this.context.view.fencingTokenOf(machine);
    let session = this.sessions.get(machine.name);
    if (session?.token !== token) {
      session = newAgentSession(token, this.context.clock.now());
      this.sessions.set(machine.name, session);
    }
    return session;
  }

  /** The machine's session under any fencing token; undefined if there is none. */
  find(name: MachineName): AgentSession | undefined {
    return this.sessions.get(name);
  }

  /** Removes the session of a machine that this controller no longer owns. */
  forget(name: MachineName): void {
    this.sessions.delete(name);
  }

  /**
   * Records a heartbeat of an owned machine, whose agent has not seen a higher fencing token than the machine's present
   * one, and returns the commands for the agent.
   */
  commandsFor(machine: MachineRecord, heartbeat: Heartbeat): readonly AgentCommand[] {
    const { context } = this;
    const session = this.current(machine);
    const isFirst = session.heartbeat === null;
    const now = context.clock.now();
    const arrival = { now, isPushed: true, heartbeatIntervalMs: this.heartbeatIntervalMs };
    // The heartbeat is late or was overtaken by the answer to a direct message. The agent keeps its lease and gets no
    // commands.
    if (!recordHeartbeat(session, heartbeat, arrival)) return [];
    if (context.events.isActive) context.events.emit({ kind: 'heartbeat_recorded', heartbeat });
    const desired = this.desiredState();
    const needsReconcile = isFirst || machine.phase === 'booting' || heartbeat.preemptionNoticeS !== null;
    if (needsReconcile || confirmedExits(machine, session, desired).length > 0)
      this.onObservation({ machine: machine.name, isNewlyAvailable: isFirst });
    const mayStart = machine.phase !== 'releasing';
    const commands = agentCommands({ machine, session, desired, now, mayStart });
    this.logCommands(machine.name, session.token, commands);
    return commands;
  }

  /**
   * Sends the machine's fencing token to each agent that has not reported it yet, and due stop commands to the others.
   */
  sendDirectCommands(names: readonly MachineName[]): void {
    const desired = this.desiredState();
    for (const name of names) {
      const machine = this.context.view.machines.get(name);
      if (machine !== undefined && this.context.ownership.owns(machine)) this.sendMessage(machine, desired);
    }
  }

  private sendMessage(machine: MachineRecord, desired: DesiredState): void {
    const { name } = machine;
    const session = this.current(machine);
    const heartbeat = session.heartbeat ?? this.health.latestHeartbeat(name);
    const address = heartbeat?.address ?? machine.address;
    if (address === undefined || machine.phase === 'releasing' || this.inFlight.has(name)) return;
    const stops = this.directCommandsFor(machine, session, heartbeat, desired);
    if (stops === null) return;
    this.inFlight.add(name);
    this.logCommands(name, session.token, stops);
    // An agent refuses a message with a wrong epoch and answers with a heartbeat; the next message uses its epoch.
    const agentEpoch = heartbeat?.agentEpoch ?? FIRST_AGENT_EPOCH;
    void this.agents.sendCommands(address, session.token, agentEpoch, stops).then((answer) => {
      if (answer?.machine === name) this.recordAnswer(answer);
      const pauseMs = answer === null ? MESSAGE_RETRY_INTERVAL_MS : MESSAGE_INTERVAL_MS;
      this.context.clock.after(pauseMs, () => this.inFlight.delete(name));
    });
  }

  /** The stop commands to send; empty where only the fencing token is to be sent, null where nothing is. */
  private directCommandsFor(
    machine: MachineRecord,
    session: AgentSession,
    heartbeat: Heartbeat | null,
    desired: DesiredState,
  ): AgentCommand[] | null {
    if (hasShownToken(session)) {
      const stops = this.dueStops(machine, session, desired);
      return stops.length === 0 ? null : stops;
    }
    const hasNewerOwner = heartbeat !== null && heartbeat.token > session.token;
    return hasNewerOwner ? null : [];
  }

  private dueStops(machine: MachineRecord, session: AgentSession, desired: DesiredState): AgentCommand[] {
    const now = this.context.clock.now();
    const commands = agentCommands({ machine, session, desired, now, mayStart: false });
    return commands.filter((command) => command.op === 'stop' && this.recordStopIfDue(machine.name, command));
  }

  /** Whether the stop command has not been sent directly within the resend interval. If so, records it as sent now. */
  private recordStopIfDue(machine: MachineName, stop: AgentCommand): boolean {
    const key = `${machine} ${taskKey(stop.job, stop.index, stop.attempt)}`;
    const sentAt = this.stopSentAt.get(key);
    const now = this.context.clock.now();
    if (sentAt !== undefined && now - sentAt < STOP_RESEND_INTERVAL_MS) return false;
    this.forgetOldStops(now);
    this.stopSentAt.delete(key);
    this.stopSentAt.set(key, now);
    return true;
  }

  private forgetOldStops(now: MonotonicMs): void {
    for (const [key, sentAt] of this.stopSentAt) {
      if (now - sentAt < STOP_RESEND_INTERVAL_MS) break;
      this.stopSentAt.delete(key);
    }
  }

  private recordAnswer(heartbeat: Heartbeat): void {
    const { context } = this;
    this.health.observeHeartbeat(heartbeat);
    const machine = context.view.machines.get(heartbeat.machine);
    if (machine === undefined || !context.ownership.owns(machine)) return;
    if (heartbeat.token > context.view.fencingTokenOf(machine)) return;
    const arrival = {
      now: context.clock.now(),
      isPushed: false,
      heartbeatIntervalMs: this.heartbeatIntervalMs,
    };
    if (!recordHeartbeat(this.current(machine), heartbeat, arrival)) return;
    if (context.events.isActive) context.events.emit({ kind: 'heartbeat_recorded', heartbeat });
    this.onObservation({ machine: machine.name, isNewlyAvailable: false });
  }

  private logCommands(machine: MachineName, token: FencingToken, commands: readonly AgentCommand[]): void {
    const { context } = this;
    for (const command of commands) {
      const { op, job, index, attempt } = command;
      context.log.debug(
        { op, task: taskId(job, index), attempt, machine, token },
        LOG_EVENT.agentCommandSent,
      );
      if (context.events.isActive) context.events.emit({ kind: 'command_sent', machine, command });
    }
  }

  private desiredState(): DesiredState {
    return { jobs: this.context.view.jobs, totals: this.context.allocations.current() };
  }
}
