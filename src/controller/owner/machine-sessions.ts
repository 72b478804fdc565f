/**
 * What the owner of a machine remembers of it under one fencing token, and how it talks to the machine's worker: answers
 * to reports, and direct messages that carry fencing tokens and stops. All of it may be lost at any time; losing it costs
 * time, never a rule.
 */
import {
  commands,
  exits,
  newMemory,
  takeReport,
  type MachineMemory,
  type Wanted,
} from '../../core/worker-reports.js';
import type {
  Command,
  MachineName,
  MachineRecord,
  NodeName,
  Report,
  MonotonicMs,
  FencingToken,
} from '../../core/types.js';
import type { Workers } from '../../io/workers.js';
import type { Context } from '../context.js';
import type { Health } from '../health.js';

/** What a worker that has reported is answered. */
export type ReportAnswer =
  | { readonly kind: 'ok'; readonly token: FencingToken; readonly commands: readonly Command[] }
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
export class MachineSessions {
  private readonly memories = new Map<MachineName, MachineMemory>();
  /** Machines to which a direct message is under way. */
  private readonly messaged = new Set<MachineName>();
  /** When a stop was last sent directly, the latest last. */
  private readonly stopSentAt = new Map<string, MonotonicMs>();
  private readonly reportMs: number;

  constructor(
    private readonly ctx: Context,
    private readonly workers: Workers,
    private readonly health: Health,
    private readonly learned: MachineListener,
  ) {
    this.reportMs = ctx.settings.workers.report_s * 1000;
  }

  names(): Iterable<MachineName> {
    return this.memories.keys();
  }

  /** What is remembered under the machine's present token; nothing yet where that is new. */
  of(machine: MachineRecord): MachineMemory {
    const token = this.ctx.view.tokenOf(machine);
    let memory = this.memories.get(machine.name);
    if (memory?.token !== token) {
      memory = newMemory(token, this.ctx.clock.now());
      this.memories.set(machine.name, memory);
    }
    return memory;
  }

  /** As `of`, without beginning anything. */
  known(name: MachineName): MachineMemory | undefined {
    return this.memories.get(name);
  }

  forget(name: MachineName): void {
    this.memories.delete(name);
  }

  /** Takes in a report of one of this controller's machines and says what the worker is to do. */
  report(machine: MachineRecord, report: Report): ReportAnswer {
    const { ctx } = this;
    const memory = this.of(machine);
    const { token } = memory;
    if (report.token > token) return { kind: 'elsewhere', node: null };
    const first = memory.report === null;
    const now = ctx.clock.now();
    // Overtaken by the answer to a direct command, or late: the worker is kept, and told nothing.
    if (!takeReport(memory, report, now, true, this.reportMs)) return { kind: 'ok', token, commands: [] };
    if (ctx.events.isActive) ctx.events.emit({ kind: 'worker_heard', report });
    const wanted = this.wanted();
    const tells = first || machine.phase === 'booting' || report.noticeS !== null;
    if (tells || exits(machine, memory, wanted).length > 0) this.learned(machine.name, first);
    const answer = commands(machine, memory, wanted, now, machine.phase !== 'releasing');
    this.noteCommands(machine.name, token, answer);
    return { kind: 'ok', token, commands: answer };
  }

  private noteCommands(machine: MachineName, token: FencingToken, sent: readonly Command[]): void {
    const { ctx } = this;
    for (const command of sent) {
      const { op, job, index, attempt } = command;
      ctx.log.debug({ op, task: ctx.task(job, index), attempt, machine, token }, 'command');
      if (ctx.events.isActive) ctx.events.emit({ kind: 'command_sent', machine, command });
    }
  }

  /** Direct messages: fencing tokens for machines that have not shown theirs, stops that cannot wait. */
  sendDirect(names: readonly MachineName[]): void {
    const wanted = this.wanted();
    for (const name of names) {
      const machine = this.ctx.view.machines.get(name);
      if (machine !== undefined && this.ctx.isMine(machine)) this.sendTo(machine, wanted);
    }
  }

  private sendTo(machine: MachineRecord, wanted: Wanted): void {
    const { ctx } = this;
    const { name } = machine;
    const memory = this.of(machine);
    const report = memory.report ?? this.health.lastReport(name);
    const address = report?.address ?? machine.address;
    if (address === undefined || machine.phase === 'releasing' || this.messaged.has(name)) return;
    let stops: Command[] = [];
    if (report?.token === memory.token && memory.report !== null) {
      stops = commands(machine, memory, wanted, ctx.clock.now(), false).filter(
        (c) => c.op === 'stop' && !this.stopSentOfLate(name, c),
      );
      if (stops.length === 0) return;
    } else if (report !== null && report.token > memory.token) return;
    this.messaged.add(name);
    this.noteCommands(name, memory.token, stops);
    // Without any report the session is a guess: the refusal brings the report, and the next try has it.
    const session = report?.session ?? FIRST_SESSION;
    void this.workers.direct(address, memory.token, session, stops).then((answer) => {
      if (answer?.machine === name) this.takeAnswer(answer);
      ctx.clock.after(answer === null ? RETRY_MESSAGE_MS : NEXT_MESSAGE_MS, () => this.messaged.delete(name));
    });
  }

  private takeAnswer(answer: Report): void {
    const { ctx } = this;
    this.health.saw(answer);
    const machine = ctx.view.machines.get(answer.machine);
    if (machine === undefined || !ctx.isMine(machine)) return;
    if (answer.token > ctx.view.tokenOf(machine)) return;
    const memory = this.of(machine);
    if (!takeReport(memory, answer, ctx.clock.now(), false, this.reportMs)) return;
    if (ctx.events.isActive) ctx.events.emit({ kind: 'worker_heard', report: answer });
    this.learned(machine.name, false);
  }

  private stopSentOfLate(machine: MachineName, stop: Command): boolean {
    const k = `${machine} ${stop.job}/${stop.index}@${stop.attempt}`;
    const before = this.stopSentAt.get(k);
    const now = this.ctx.clock.now();
    if (before !== undefined && now - before < STOP_AGAIN_MS) return true;
    for (const [old, at] of this.stopSentAt) {
      if (now - at < STOP_AGAIN_MS) break;
      this.stopSentAt.delete(old);
    }
    this.stopSentAt.delete(k);
    this.stopSentAt.set(k, now);
    return false;
  }

  private wanted(): Wanted {
    return { jobs: this.ctx.view.jobs, ledger: this.ctx.ledger() };
  }
}
