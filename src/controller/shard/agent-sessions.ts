/**
 * What the owner of a machine remembers of it under one fencing token, and how it talks to the machine's worker: answers
 * to reports, and direct messages that carry fencing tokens and stops. All of it may be lost at any time; losing it costs
 * time, never a rule.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import { taskId } from '../../core/model/ids.js';
import {
  agentCommands,
  confirmedExits,
  newAgentSession,
  recordHeartbeat,
  type AgentSession,
  type DesiredState,
} from '../../core/agents/agent-session.js';
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import type { MachineName, NodeName, FencingToken } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { MonotonicMs } from '../../core/model/time.js';
import type { AgentGateway } from '../../io/agents/agent-client.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health-tracker.js';

/** What a worker that has reported is answered. */
export type HeartbeatReply =
  | { readonly kind: 'ok'; readonly token: FencingToken; readonly commands: readonly AgentCommand[] }
  | { readonly kind: 'elsewhere'; readonly node: NodeName | null }
  | { readonly kind: 'busy' };

/** Told of a machine about which something was learned, and whether tasks may now be placed that could not before. */
export type MachineListener = (name: MachineName, mayPlace: boolean) => void;

/** A stop that was sent directly is not sent again for so long: the worker's next report shows what became of it. */
const STOP_AGAIN_MS = 4000;
/** From the answer to a direct message, or from its failure, to the next one to the same machine. */
const NEXT_MESSAGE_MS = 100;
const RETRY_MESSAGE_MS = 1500;
/** A new worker's first session: the guess where no report has told it. */
const FIRST_SESSION = 1;

/** Remembers the machines of this owner, answers their reports and sends them direct messages. */
export class AgentSessions {
  private readonly sessions = new Map<MachineName, AgentSession>();
  /** Machines to which a direct message is under way. */
  private readonly inFlight = new Set<MachineName>();
  /** When a stop was last sent directly, the latest last. */
  private readonly stopSentAt = new Map<string, MonotonicMs>();
  private readonly heartbeatIntervalMs: number;

  constructor(
    private readonly context: ControllerContext,
    private readonly agents: AgentGateway,
    private readonly health: HealthTracker,
    private readonly learned: MachineListener,
  ) {
    this.heartbeatIntervalMs = context.settings.workers.report_s * 1000;
  }

  names(): Iterable<MachineName> {
    return this.sessions.keys();
  }

  /** What is remembered under the machine's present token; nothing yet where that is new. */
  of(machine: MachineRecord): AgentSession {
    const token = this.context.view.fencingTokenOf(machine);
    let memory = this.sessions.get(machine.name);
    if (memory?.token !== token) {
      memory = newAgentSession(token, this.context.clock.now());
      this.sessions.set(machine.name, memory);
    }
    return memory;
  }

  /** As `of`, without beginning anything. */
  get(name: MachineName): AgentSession | undefined {
    return this.sessions.get(name);
  }

  forget(name: MachineName): void {
    this.sessions.delete(name);
  }

  /** Takes in a report of one of this controller's machines and says what the worker is to do. */
  answerHeartbeat(machine: MachineRecord, heartbeat: Heartbeat): HeartbeatReply {
    const { context } = this;
    const memory = this.of(machine);
    const { token } = memory;
    if (heartbeat.token > token) return { kind: 'elsewhere', node: null };
    const first = memory.heartbeat === null;
    const now = context.clock.now();
    // Overtaken by the answer to a direct command, or late: the worker is kept, and told nothing.
    if (!recordHeartbeat(memory, heartbeat, now, true, this.heartbeatIntervalMs))
      return { kind: 'ok', token, commands: [] };
    if (context.events.isActive) context.events.emit({ kind: 'heartbeat_recorded', heartbeat });
    const wanted = this.desiredState();
    const tells = first || machine.phase === 'booting' || heartbeat.preemptionNoticeS !== null;
    if (tells || confirmedExits(machine, memory, wanted).length > 0) this.learned(machine.name, first);
    const answer = agentCommands(machine, memory, wanted, now, machine.phase !== 'releasing');
    this.noteCommands(machine.name, token, answer);
    return { kind: 'ok', token, commands: answer };
  }

  private noteCommands(machine: MachineName, token: FencingToken, sent: readonly AgentCommand[]): void {
    const { context } = this;
    for (const command of sent) {
      const { op, job, index, attempt } = command;
      context.log.debug(
        { op, task: taskId(job, index), attempt, machine, token },
        LOG_EVENT.agentCommandSent,
      );
      if (context.events.isActive) context.events.emit({ kind: 'command_sent', machine, command });
    }
  }

  /** Direct messages: fencing tokens for machines that have not shown theirs, stops that cannot wait. */
  sendDirectCommands(names: readonly MachineName[]): void {
    const wanted = this.desiredState();
    for (const name of names) {
      const machine = this.context.view.machines.get(name);
      if (machine !== undefined && this.context.ownership.owns(machine)) this.sendTo(machine, wanted);
    }
  }

  private sendTo(machine: MachineRecord, wanted: DesiredState): void {
    const { context } = this;
    const { name } = machine;
    const memory = this.of(machine);
    const heartbeat = memory.heartbeat ?? this.health.lastHeartbeat(name);
    const address = heartbeat?.address ?? machine.address;
    if (address === undefined || machine.phase === 'releasing' || this.inFlight.has(name)) return;
    let stops: AgentCommand[] = [];
    if (heartbeat?.token === memory.token && memory.heartbeat !== null) {
      stops = agentCommands(machine, memory, wanted, context.clock.now(), false).filter(
        (c) => c.op === 'stop' && !this.stopSentOfLate(name, c),
      );
      if (stops.length === 0) return;
    } else if (heartbeat !== null && heartbeat.token > memory.token) return;
    this.inFlight.add(name);
    this.noteCommands(name, memory.token, stops);
    // Without any report the session is a guess: the refusal brings the report, and the next try has it.
    const session = heartbeat?.agentEpoch ?? FIRST_SESSION;
    void this.agents.sendCommands(address, memory.token, session, stops).then((answer) => {
      if (answer?.machine === name) this.recordAnswer(answer);
      context.clock.after(answer === null ? RETRY_MESSAGE_MS : NEXT_MESSAGE_MS, () =>
        this.inFlight.delete(name),
      );
    });
  }

  private recordAnswer(answer: Heartbeat): void {
    const { context } = this;
    this.health.observeHeartbeat(answer);
    const machine = context.view.machines.get(answer.machine);
    if (machine === undefined || !context.ownership.owns(machine)) return;
    if (answer.token > context.view.fencingTokenOf(machine)) return;
    const memory = this.of(machine);
    if (!recordHeartbeat(memory, answer, context.clock.now(), false, this.heartbeatIntervalMs)) return;
    if (context.events.isActive) context.events.emit({ kind: 'heartbeat_recorded', heartbeat: answer });
    this.learned(machine.name, false);
  }

  private stopSentOfLate(machine: MachineName, stop: AgentCommand): boolean {
    const k = `${machine} ${stop.job}/${stop.index}@${stop.attempt}`;
    const before = this.stopSentAt.get(k);
    const now = this.context.clock.now();
    if (before !== undefined && now - before < STOP_AGAIN_MS) return true;
    for (const [old, at] of this.stopSentAt) {
      if (now - at < STOP_AGAIN_MS) break;
      this.stopSentAt.delete(old);
    }
    this.stopSentAt.delete(k);
    this.stopSentAt.set(k, now);
    return false;
  }

  private desiredState(): DesiredState {
    return { jobs: this.context.view.jobs, totals: this.context.allocations.current() };
  }
}
