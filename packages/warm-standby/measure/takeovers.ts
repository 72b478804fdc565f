/**
 * Measures failovers of real controller processes on loopback, with and without warm standbys: the time until the shard has
 * a new holder, until its agents are answered and start tasks, and how long users wait. Writes one JSON line per failover.
 * Not part of CI:
 *
 *     npm run --silent measure:takeovers -- --kind kill --runs 30 --standby on
 */
import { appendFileSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { Command } from 'commander';
import { machineName } from '../../../src/core/model/ids.js';
import { key } from '../../../src/core/records/keys.js';
import { NODES } from '../../../test/loopback/cluster-settings.js';
import { LoopbackCluster, type AgentObserver } from '../../../test/loopback/cluster.js';
import type { ControllerProcess } from '../../../test/loopback/controller-process.js';
import { Users, sleep } from '../../../test/loopback/users.js';
import type { StandbyStatus } from '../test/standby-run-helpers.js';

const SHORT_PAUSE_MS = 700;
const LONG_PAUSE_MS = 12_000;
const PARTITION_MS = 12_000;
const MACHINES_PER_ZONE = 14;
const SUBMIT_EVERY_MS = 200;
/** A short pause after which the shard has not moved within this time counts as causing no failover. */
const SHORT_PAUSE_OBSERVED_MS = 3000;
const FAILOVER_TIMEOUT_MS = 40_000;
/** How long after the fault agents may take to be answered and to start tasks. */
const COMPLETION_TIMEOUT_MS = 30_000;
/** Submissions within this time before the fault count as well, since the fault may delay their acceptance. */
const SUBMITTED_BEFORE_FAULT_MS = 5000;

const KINDS = ['kill', 'short-pause', 'long-pause', 'cut', 'planned'] as const;
type Kind = (typeof KINDS)[number];

// The backoff between failovers of one shard would delay the next round, so its pauses are reduced to 100 ms here.
const OPERATOR_SETTINGS = {
  on: `[slices]\nsettled_s = 3.0\n[packages.warm_standby.takeover]\nbackoff_ms = 100\nlongest_backoff_ms = 100\n`,
  off: `[slices]\nsettled_s = 3.0\n`,
};

/** The result of one round, times in milliseconds after the fault; null where something did not happen. */
interface Round {
  readonly kind: Kind;
  readonly standby: 'on' | 'off';
  readonly round: number;
  readonly workers: number;
  holderMs: number | null;
  firstReportMs: number | null;
  firstStartMs: number | null;
  allReportsMs: number | null;
  usersLongestMs: number;
  cause: string | null;
  warm: boolean | null;
}

/** A fault to inject, and how it ends. */
interface Fault {
  begin(): Promise<void>;
  end(): Promise<void>;
}

function createFault(kind: Kind, victim: ControllerProcess, cluster: LoopbackCluster): Fault {
  const pause = (ms: number): Fault => ({
    begin: () => {
      victim.pause();
      setTimeout(() => {
        victim.resume();
      }, ms);
      return Promise.resolve();
    },
    end: () => sleep(ms),
  });
  switch (kind) {
    case 'kill':
      return {
        begin: () => victim.kill(),
        end: () => {
          victim.start();
          return Promise.resolve();
        },
      };
    case 'short-pause':
      return pause(SHORT_PAUSE_MS);
    case 'long-pause':
      return pause(LONG_PAUSE_MS);
    case 'cut':
      return {
        begin: () => {
          cluster.setPartitioned(victim.name, true);
          return Promise.resolve();
        },
        end: async () => {
          await sleep(PARTITION_MS);
          cluster.setPartitioned(victim.name, false);
        },
      };
    case 'planned':
      return {
        begin: async () => {
          const path = '/v1/packages/warm_standby/handover';
          const reply = await victim.request('POST', path, {}, 30_000);
          // Without the plugin there is no handover: the planned restart is a kill.
          if (reply?.status !== 200) await victim.kill();
        },
        end: async () => {
          await victim.kill();
          victim.start();
        },
      };
  }
}

/** What a controller's status shows of the plugin, and the holder of each shard; null where it does not answer. */
const statusOf = async (
  c: ControllerProcess,
): Promise<{ standby: StandbyStatus | null; holders: Map<string, string> } | null> => {
  const reply = await c.request('GET', '/v1/status');
  if (reply?.status !== 200) return null;
  const body = reply.body as {
    slices: { slice: string; holder: string }[];
    packages?: { warm_standby: StandbyStatus };
  };
  return {
    standby: body.packages?.warm_standby ?? null,
    holders: new Map(body.slices.map((s) => [s.slice, s.holder])),
  };
};

/** Whether all controllers answer, see each shard with its default holder, and all standbys are warm. */
async function isSettled(cluster: LoopbackCluster): Promise<boolean> {
  for (const node of NODES) {
    const status = await statusOf(cluster.controllers.get(node)!);
    if (status === null || NODES.some((n) => status.holders.get(n) !== n)) return false;
    if (status.standby?.slices.some((s) => s.role === 'standby' && s.warm !== true) === true) return false;
  }
  return true;
}

/** Names of the live agents whose machines belong to the shard according to their records. */
const agentsOf = (cluster: LoopbackCluster, shard: string) =>
  new Set(
    cluster.simulatedCluster
      .liveAgents()
      .map((agent) => agent.name)
      .filter((name) => shardOf(cluster, name) === shard),
  );

const shardOf = (cluster: LoopbackCluster, machine: string) =>
  (cluster.state.rows.get(key.machine(machineName(machine)))?.value as { owner: string } | undefined)?.owner;

const createRound = (of: Pick<Round, 'kind' | 'standby' | 'round' | 'workers'>): Round => ({
  ...of,
  holderMs: null,
  firstReportMs: null,
  firstStartMs: null,
  allReportsMs: null,
  usersLongestMs: 0,
  cause: null,
  warm: null,
});

/** Injects one fault and measures the failover that it causes. */
async function measureFailover(
  cluster: LoopbackCluster,
  users: Users,
  { kind, standby, round }: Pick<Round, 'kind' | 'standby' | 'round'>,
): Promise<Round> {
  const victim = cluster.controllers.get(NODES[round % NODES.length]!)!;
  const shard = victim.name;
  const agents = agentsOf(cluster, shard);
  const result = createRound({ kind, standby, round, workers: agents.size });
  const start = performance.now();
  const elapsedMs = () => Math.round(performance.now() - start);
  cluster.agentObserver = createAgentObserver(cluster, shard, agents, result, elapsedMs);
  const fault = createFault(kind, victim, cluster);
  await fault.begin();
  const isTakenOver = () => cluster.holderOf(shard)?.holder !== shard;
  const timeoutMs = kind === 'short-pause' ? SHORT_PAUSE_OBSERVED_MS : FAILOVER_TIMEOUT_MS;
  while (!isTakenOver() && elapsedMs() < timeoutMs) await sleep(5);
  if (isTakenOver()) {
    result.holderMs = elapsedMs();
    while (!isComplete(result) && elapsedMs() < COMPLETION_TIMEOUT_MS) await sleep(10);
    await recordCause(cluster, shard, result);
  }
  cluster.agentObserver = null;
  await fault.end();
  await cluster.until('settled', () => isSettled(cluster), 120_000);
  const waits = users.acceptedAfterMs.filter(({ at }) => at >= start - SUBMITTED_BEFORE_FAULT_MS);
  result.usersLongestMs = Math.round(Math.max(0, ...waits.map(({ ms }) => ms)));
  return result;
}

/** Creates an observer that records when the new holder answers the shard's agents and starts tasks on them. */
function createAgentObserver(
  cluster: LoopbackCluster,
  shard: string,
  agents: ReadonlySet<string>,
  result: Round,
  elapsedMs: () => number,
): AgentObserver {
  const { epoch } = cluster.holderOf(shard)!;
  const unanswered = new Set(agents);
  // Until the shard has its new holder, other controllers only act as proxies for its agents, which is no failover.
  const isNewHolder = (node: string) => node !== shard && cluster.holderOf(shard)?.holder === node;
  return {
    answered: (agent, node, token) => {
      if (!agents.has(agent.name) || token <= epoch || !isNewHolder(node)) return;
      result.firstReportMs ??= elapsedMs();
      unanswered.delete(agent.name);
      for (const name of unanswered) if (shardOf(cluster, name) !== shard) unanswered.delete(name);
      if (unanswered.size === 0) result.allReportsMs ??= elapsedMs();
    },
    started: (agent) => {
      if (agents.has(agent.name) && isNewHolder(agent.controller)) result.firstStartMs ??= elapsedMs();
    },
  };
}

function isComplete(result: Round): boolean {
  return result.firstStartMs !== null && result.allReportsMs !== null;
}

/** Records the cause of the failover and whether the new holder was warm, from its status. */
async function recordCause(cluster: LoopbackCluster, shard: string, result: Round): Promise<void> {
  const holder = cluster.controllers.get(cluster.holderOf(shard)!.holder)!;
  const status = await statusOf(holder);
  const failover = status?.standby?.takeovers.filter(({ slice }) => slice === shard).at(-1);
  result.cause = failover?.cause ?? null;
  result.warm = failover?.warm ?? null;
}

/** CPU time in seconds and resident memory in MB of a process, with Linux's 100 clock ticks a second and pages of 4 KiB. */
function resourceUsageOf(pid: number): { cpuS: number; rssMb: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  const ticks = Number(stat[11]) + Number(stat[12]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return { cpuS: ticks / 100, rssMb: (pages * 4096) / 1e6 };
}

/** The command line. */
interface Arguments {
  readonly kind: Kind | 'cost';
  /** Number of rounds; with kind `cost` the duration in seconds. */
  readonly runs: number;
  readonly standby: 'on' | 'off';
  readonly out: string;
  /** Whether every job is traced to a file. */
  readonly traced: boolean;
}

/** Measures CPU, memory and replication traffic of all controllers over a period without faults. */
async function measureCost(cluster: LoopbackCluster, options: Arguments, durationS: number): Promise<void> {
  const before = NODES.map((node) => resourceUsageOf(cluster.controllers.get(node)!.pid));
  await sleep(durationS * 1000);
  const after = NODES.map((node) => resourceUsageOf(cluster.controllers.get(node)!.pid));
  const statuses = await Promise.all(NODES.map((node) => statusOf(cluster.controllers.get(node)!)));
  const sent = statuses.flatMap((s) =>
    (s?.standby?.slices ?? []).flatMap((x) =>
      (x.followers ?? []).map((f) => (f as { sentBytes?: number }).sentBytes ?? 0),
    ),
  );
  const line = {
    kind: 'cost',
    standby: options.standby,
    traced: options.traced,
    seconds: durationS,
    machines: cluster.simulatedCluster.liveAgents().length,
    cpuPart: after.map((a, i) => Number(((a.cpuS - before[i]!.cpuS) / durationS).toFixed(4))),
    rssMb: after.map((a) => Math.round(a.rssMb)),
    sentBytes: sent.reduce((sum, x) => sum + x, 0),
    suspicions: statuses.reduce((sum, s) => sum + (s?.standby?.counts.suspicions ?? 0), 0),
    falseTakeovers: statuses.reduce((sum, s) => sum + (s?.standby?.counts.falseTakeovers ?? 0), 0),
  };
  appendFileSync(options.out, `${JSON.stringify(line)}\n`);
}

async function main(): Promise<void> {
  const program = new Command()
    .requiredOption('--kind <kind>', `${KINDS.join(', ')} or cost`)
    .option('--runs <n>', 'number of failovers; with cost: duration in seconds', Number, 30)
    .requiredOption('--standby <on|off>')
    .option('--traced', 'trace every job to a file', false)
    .option('--out <file>', 'file to which JSON lines are appended', 'target/takeovers.jsonl')
    .parse();
  const options = program.opts<Arguments>();
  const cluster = new LoopbackCluster(MACHINES_PER_ZONE);
  const users = new Users(cluster);
  try {
    const file = path.join(cluster.directory, 'spans.jsonl');
    const tracing = `[packages.tracing]\nfile = "${file}"\nsample_ratio = 1.0\n`;
    await cluster.start(OPERATOR_SETTINGS[options.standby] + (options.traced ? tracing : ''));
    await cluster.until('settled', () => isSettled(cluster));
    void users.run(SUBMIT_EVERY_MS);
    await cluster.until('work is under way', () => cluster.simulatedCluster.tasksStarted > 30);
    if (options.kind === 'cost') await measureCost(cluster, options, options.runs);
    else
      for (let round = 0; round < options.runs; round++) {
        const result = await measureFailover(cluster, users, {
          kind: options.kind,
          standby: options.standby,
          round,
        });
        appendFileSync(options.out, `${JSON.stringify(result)}\n`);
      }
    users.stop();
    await cluster.until('all jobs are over', () => users.unfinishedJobs().length === 0, 180_000);
    if (users.failed !== null) throw users.failed;
  } finally {
    users.stop();
    await cluster.stop();
  }
}

void main();
