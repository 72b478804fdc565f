/** Agents' heartbeats and the commands to them: the protocol's field names, mapped to those of the core. */
import type {
  TaskState,
  Heartbeat,
  ReportedTask,
  ExitReason,
  AgentCommand,
} from '../../core/model/heartbeats.js';
import {
  type JobId,
  jobId,
  attempt,
  machineName,
  typeName,
  zoneName,
  fencingToken,
  type FencingToken,
} from '../../core/model/ids.js';
import { isObject, isCount } from '../json.js';

// Workers.

const TASK_STATE: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const WHYS = new Set(['done', 'stopped', 'peers', 'incomplete', 'error', 'full', 'in_use', 'unknown']);

function splitTask(s: string): { job: JobId; index: number } | null {
  const at = s.lastIndexOf('/');
  const index = Number(s.slice(at + 1));
  return at > 0 && Number.isInteger(index) ? { job: jobId(s.slice(0, at)), index } : null;
}

/** Null if it is no report. */
export function heartbeatFromWire(b: unknown): Heartbeat | null {
  if (!isObject(b)) return null;
  if (typeof b['teller'] !== 'string' || !/^[\w.:-]{1,150}$/.test(b['teller'])) return null;
  if (typeof b['flavor'] !== 'string' || typeof b['vault'] !== 'string') return null;
  if (!isCount(b['shift']) || !isCount(b['tally']) || !isCount(b['mandate'] ?? 0)) return null;
  const tasks: ReportedTask[] = [];
  const list: unknown = b['shards'] ?? [];
  if (!Array.isArray(list)) return null;
  for (const t of list as unknown[]) {
    if (!isObject(t) || typeof t['shard'] !== 'string' || !isCount(t['tryNo'])) return null;
    const at = splitTask(t['shard']);
    const state = TASK_STATE[String(t['standing'])];
    if (at === null || state === undefined) return null;
    const why = t['exitCause'];
    tasks.push({
      job: at.job,
      index: at.index,
      attempt: attempt(t['tryNo']),
      state,
      exitReason: typeof why === 'string' && WHYS.has(why) ? (why as ExitReason) : null,
      hasCheckpoint: t['stored'] === true,
    });
  }
  const notice = b['recallS'];
  return {
    machine: machineName(b['teller']),
    address: typeof b['endpoint'] === 'string' ? b['endpoint'] : '',
    type: typeName(b['flavor']),
    zone: zoneName(b['vault']),
    spot: b['loaner'] === true,
    agentEpoch: b['shift'],
    sequence: b['tally'],
    token: fencingToken((b['mandate'] ?? 0) as number),
    preemptionNoticeS: typeof notice === 'number' ? notice : null,
    tasks,
  };
}

const OP = { start: 'run', stop: 'stop', forget: 'forget' };
const commandToWire = (c: AgentCommand) => ({
  orderKind: OP[c.op],
  shard: `${c.job}/${c.index}`,
  tryNo: c.attempt,
  ...(c.op === 'stop' ? { windDownS: c.gracePeriodS } : {}),
});
/** No line may exceed 64 KiB, so what does not fit waits for the next report. */
export function commandsToWire(token: FencingToken, commands: readonly AgentCommand[]) {
  return { mandate: token, orders: commands.slice(0, 400).map(commandToWire) };
}
/** The body of a direct command to a worker. */
export const directCommandsToWire = (
  token: FencingToken,
  session: number,
  commands: readonly AgentCommand[],
) => ({
  ...commandsToWire(token, commands),
  shift: session,
});
/** The answer to a worker that should report to another controller. */
export const redirectToWire = (node: string | null) => (node === null ? {} : { answersTo: node });
