/** Agents' heartbeats and the commands to them: the protocol's field names, mapped to those of the core. */
import type {
  AgentCommand,
  ExitReason,
  Heartbeat,
  ReportedTask,
  TaskState,
} from '../../core/model/heartbeats.js';
import {
  attempt,
  fencingToken,
  jobId,
  machineName,
  typeName,
  zoneName,
  type FencingToken,
  type JobId,
  type TaskIndex,
} from '../../core/model/ids.js';
import { isCount, isObject, type Json } from '../json.js';

/** No message may exceed 64 KiB; commands beyond this number wait for the next heartbeat. */
const MAX_COMMANDS = 400;
const MACHINE_NAME_PATTERN = /^[\w.:-]{1,150}$/;

const TASK_STATE_FROM_WIRE: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const EXIT_REASONS: ReadonlySet<string> = new Set<ExitReason>([
  'done',
  'stopped',
  'peers',
  'incomplete',
  'error',
  'full',
  'in_use',
  'unknown',
]);
const COMMAND_TO_WIRE = { start: 'run', stop: 'stop', forget: 'forget' };

/** A heartbeat; null where the body is none. */
export function heartbeatFromWire(body: unknown): Heartbeat | null {
  if (!isObject(body)) return null;
  const machine = machineFromWire(body);
  const order = orderFromWire(body);
  const tasks = tasksFromWire(body['shards'] ?? []);
  if (machine === null || order === null || tasks === null) return null;
  const notice = body['recallS'];
  return {
    ...machine,
    ...order,
    preemptionNoticeS: typeof notice === 'number' ? notice : null,
    tasks,
  };
}

function machineFromWire(
  body: Json,
): Pick<Heartbeat, 'machine' | 'address' | 'type' | 'zone' | 'spot'> | null {
  const { teller, flavor, vault, endpoint } = body;
  if (typeof teller !== 'string' || !MACHINE_NAME_PATTERN.test(teller)) return null;
  if (typeof flavor !== 'string' || typeof vault !== 'string') return null;
  return {
    machine: machineName(teller),
    address: typeof endpoint === 'string' ? endpoint : '',
    type: typeName(flavor),
    zone: zoneName(vault),
    spot: body['loaner'] === true,
  };
}

function orderFromWire(body: Json): Pick<Heartbeat, 'agentEpoch' | 'sequence' | 'token'> | null {
  const { shift, tally } = body;
  const mandate = body['mandate'] ?? 0;
  if (!isCount(shift) || !isCount(tally) || !isCount(mandate)) return null;
  return { agentEpoch: shift, sequence: tally, token: fencingToken(mandate) };
}

function tasksFromWire(list: unknown): ReportedTask[] | null {
  if (!Array.isArray(list)) return null;
  const tasks: ReportedTask[] = [];
  for (const item of list as unknown[]) {
    const task = taskFromWire(item);
    if (task === null) return null;
    tasks.push(task);
  }
  return tasks;
}

function taskFromWire(item: unknown): ReportedTask | null {
  if (!isObject(item)) return null;
  const { shard, tryNo, exitCause } = item;
  if (typeof shard !== 'string' || !isCount(tryNo)) return null;
  const id = taskIdFromWire(shard);
  const state = TASK_STATE_FROM_WIRE[String(item['standing'])];
  if (id === null || state === undefined) return null;
  return {
    ...id,
    attempt: attempt(tryNo),
    state,
    exitReason:
      typeof exitCause === 'string' && EXIT_REASONS.has(exitCause) ? (exitCause as ExitReason) : null,
    hasCheckpoint: item['stored'] === true,
  };
}

/** A task's name: the id of its job, a slash, and its index. */
function taskIdFromWire(text: string): { job: JobId; index: TaskIndex } | null {
  const slash = text.lastIndexOf('/');
  const index = Number(text.slice(slash + 1));
  return slash > 0 && Number.isInteger(index) ? { job: jobId(text.slice(0, slash)), index } : null;
}

/** The commands in answer to a heartbeat. */
export function commandsToWire(token: FencingToken, commands: readonly AgentCommand[]) {
  return { mandate: token, orders: commands.slice(0, MAX_COMMANDS).map(commandToWire) };
}

/** The body of a direct message with commands to an agent. */
export const directCommandsToWire = (
  token: FencingToken,
  agentEpoch: number,
  commands: readonly AgentCommand[],
) => ({ ...commandsToWire(token, commands), shift: agentEpoch });

/** The answer to an agent that should send its heartbeats to another controller. */
export const redirectToWire = (node: string | null) => (node === null ? {} : { answersTo: node });

const commandToWire = (command: AgentCommand) => ({
  orderKind: COMMAND_TO_WIRE[command.op],
  shard: `${command.job}/${command.index}`,
  tryNo: command.attempt,
  ...(command.op === 'stop' ? { windDownS: command.gracePeriodS } : {}),
});
