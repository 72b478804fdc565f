/** JSON bodies of agents' heartbeats and of commands to agents: maps their field names to those of the core. */
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
import { MAX_BODY_BYTES } from '../../core/model/message-limits.js';
import { isCount, isObject, type Json } from '../json.js';

/** Most bytes of a message without its commands: the names of its fields, the fencing token and the agent's epoch. */
const HEADER_BYTES = 100;
/** Most bytes that a command takes beside its job's id, its index and its attempt. */
const COMMAND_BYTES = 82;
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

/** Converts a request or response body to a heartbeat; null if it is malformed. */
export function heartbeatFromWire(body: unknown): Heartbeat | null {
  if (!isObject(body)) return null;
  const machine = machineFromWire(body);
  const sequencing = sequencingFromWire(body);
  const tasks = tasksFromWire(body['shards'] ?? []);
  if (machine === null || sequencing === null || tasks === null) return null;
  const notice = body['recallS'];
  return {
    ...machine,
    ...sequencing,
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

/**
 * The fields that order the heartbeats of an agent and its commands: agent epoch, sequence number and fencing token.
 */
function sequencingFromWire(body: Json): Pick<Heartbeat, 'agentEpoch' | 'sequence' | 'token'> | null {
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

/** Parses a task id (`JOB/INDEX`); null if it is malformed. */
function taskIdFromWire(text: string): { job: JobId; index: TaskIndex } | null {
  const slash = text.lastIndexOf('/');
  const index = Number(text.slice(slash + 1));
  return slash > 0 && Number.isInteger(index) ? { job: jobId(text.slice(0, slash)), index } : null;
}

/** The response body for a heartbeat: the fencing token and the first commands, as many as a message may hold. */
export function commandsToWire(token: FencingToken, commands: readonly AgentCommand[]) {
  return { mandate: token, orders: commands.slice(0, commandsThatFit(commands)).map(commandToWire) };
}

/** How many of the commands fit into one message; the others wait for the next heartbeat. */
function commandsThatFit(commands: readonly AgentCommand[]): number {
  let bytesLeft = MAX_BODY_BYTES - HEADER_BYTES;
  for (const [position, { job, index, attempt }] of commands.entries()) {
    bytesLeft -= COMMAND_BYTES + job.length + String(index).length + String(attempt).length;
    if (bytesLeft < 0) return position;
  }
  return commands.length;
}

/** The request body of a direct message to an agent; valid for the given agent epoch only. */
export const directCommandsToWire = (
  token: FencingToken,
  agentEpoch: number,
  commands: readonly AgentCommand[],
) => ({ ...commandsToWire(token, commands), shift: agentEpoch });

/** The response body that redirects an agent to the controller `node`, or to any other controller if null. */
export const redirectToWire = (node: string | null) => (node === null ? {} : { answersTo: node });

const commandToWire = (command: AgentCommand) => ({
  orderKind: COMMAND_TO_WIRE[command.op],
  shard: `${command.job}/${command.index}`,
  tryNo: command.attempt,
  ...(command.op === 'stop' ? { windDownS: command.gracePeriodS } : {}),
});
