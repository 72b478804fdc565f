/**
 * Measures takeovers with real processes on loopback, with warm standbys and without: how long a shard is without a holder, until its
 * agents are answered and start tasks, and how long users wait. Writes one JSON line a failover. Not part of CI:
 *
 *     npm run --silent measure:takeovers -- --kind kill --runs 30 --standby on
 */
import { appendFileSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { Command } from 'commander';
import { machineName } from '../../../src/core/model/ids.js';
import { key } from '../../../src/core/records/keys.js';
import { NODES } from '../test/loopback/cluster-settings.js';
import { LoopbackCluster, type AgentObserver } from '../test/loopback/cluster.js';
import type { ControllerProcess } from '../test/loopback/controller-process.js';
import { Users, sleep } from '../test/loopback/users.js';
import type { Shown } from '../test/standbys.js';

const SHORT_PAUSE_MS = 700;
const LONG_PAUSE_MS = 12_000;
const CUT_MS = 12_000;
const PER_ZONE = 14;
const SUBMIT_EVERY_MS = 200;
/** A short pause that moves nothing within this time causes no failover. */
const NO_MOVE_MS = 3000;
const MOVE_TIMEOUT_MS = 40_000;
/** How long agents may take to be answered and to start tasks. */
const COMPLETION_TIMEOUT_MS = 30_000;
/** Submissions so long before the fault may be delayed by it, too. */
const WAITS_BEFORE_FAULT_MS = 5000;

const KINDS = ['kill', 'short-pause', 'long-pause', 'cut', 'planned'] as const;
type Kind = (typeof KINDS)[number];

// The backoff between failovers of one shard would delay the next round, so it is practically off here.
const OPERATOR = {
  on: `[slices]\nsettled_s = 3.0\n[packages.warm_standby.takeover]\nbackoff_ms = 100\nlongest_backoff_ms = 100\n`,
  off: `[slices]\nsettled_s = 3.0\n`,
};

/** One takeover, in milliseconds after the fault; null: it did not happen. */
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

interface Fault {
  begin(): Promise<void>;
  end(): Promise<void>;
}

function faultOf(kind: Kind, victim: ControllerProcess, cluster: LoopbackCluster): Fault {
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
          await sleep(CUT_MS);
          cluster.setPartitioned(victim.name, false);
        },
      };
    case 'planned':
      return {
        begin: async () => {
          const path = '/v1/packages/warm_standby/handover';
          const reply = await victim.ask('POST', path, {}, 30_000);
          // Without the package a planned restart is a kill.
          if (reply?.status !== 200) await victim.kill();
        },
        end: async () => {
          await victim.kill();
          victim.start();
        },
      };
  }
}

const statusOf = async (
  c: ControllerProcess,
): Promise<{ standby: Shown | null; holders: Map<string, string> } | null> => {
  const reply = await c.ask('GET', '/v1/status');
  if (reply?.status !== 200) return null;
  const body = reply.body as {
    slices: { slice: string; holder: string }[];
    packages?: { warm_standby: Shown };
  };
  return {
    standby: body.packages?.warm_standby ?? null,
    holders: new Map(body.slices.map((s) => [s.slice, s.holder])),
  };
};

async function isSettled(cluster: LoopbackCluster): Promise<boolean> {
  for (const node of NODES) {
    const status = await statusOf(cluster.controllers.get(node)!);
    if (status === null || NODES.some((n) => status.holders.get(n) !== n)) return false;
    if (status.standby?.slices.some((s) => s.role === 'standby' && s.warm !== true) === true) return false;
  }
  return true;
}

/** Live machines of the shard, as their records have it. */
const agentsOf = (cluster: LoopbackCluster, shard: string) =>
  new Set(
    cluster.simulatedCluster
      .liveAgents()
      .map((agent) => agent.name)
      .filter((name) => shardOf(cluster, name) === shard),
  );

const shardOf = (cluster: LoopbackCluster, machine: string) =>
  (cluster.state.rows.get(key.machine(machineName(machine)))?.value as { owner: string } | undefined)?.owner;

const newRound = (of: Pick<Round, 'kind' | 'standby' | 'round' | 'workers'>): Round => ({
  ...of,
  holderMs: null,
  firstReportMs: null,
  firstStartMs: null,
  allReportsMs: null,
  usersLongestMs: 0,
  cause: null,
  warm: null,
});

/** Injects one fault and measures the failover that follows. */
async function measureFailover(
  cluster: LoopbackCluster,
  users: Users,
  { kind, standby, round }: Pick<Round, 'kind' | 'standby' | 'round'>,
): Promise<Round> {
  const victim = cluster.controllers.get(NODES[round % NODES.length]!)!;
  const shard = victim.name;
  const agents = agentsOf(cluster, shard);
  const result = newRound({ kind, standby, round, workers: agents.size });
  const start = performance.now();
  const since = () => Math.round(performance.now() - start);
  cluster.agentObserver = agentObserverOf(cluster, shard, agents, result, since);
  const fault = faultOf(kind, victim, cluster);
  await fault.begin();
  const isMoved = () => cluster.holderOf(shard)?.holder !== shard;
  const timeoutMs = kind === 'short-pause' ? NO_MOVE_MS : MOVE_TIMEOUT_MS;
  while (!isMoved() && since() < timeoutMs) await sleep(5);
  if (isMoved()) {
    result.holderMs = since();
    while (!isComplete(result) && since() < COMPLETION_TIMEOUT_MS) await sleep(10);
    await recordCause(cluster, shard, result);
  }
  cluster.agentObserver = null;
  await fault.end();
  await cluster.until('settled', () => isSettled(cluster), 120_000);
  const waits = users.acceptedAfterMs.filter(({ at }) => at >= start - WAITS_BEFORE_FAULT_MS);
  result.usersLongestMs = Math.round(Math.max(0, ...waits.map(({ ms }) => ms)));
  return result;
}

/** Records when the new holder answers the shard's agents and starts tasks on them. */
function agentObserverOf(
  cluster: LoopbackCluster,
  shard: string,
  agents: ReadonlySet<string>,
  result: Round,
  since: () => number,
): AgentObserver {
  const { epoch } = cluster.holderOf(shard)!;
  const unanswered = new Set(agents);
  // Until the shard has its new holder, other controllers only act as proxies for its agents, which is no failover.
  const isNewHolder = (node: string) => node !== shard && cluster.holderOf(shard)?.holder === node;
  return {
    answered: (agent, node, token) => {
      if (!agents.has(agent.name) || token <= epoch || !isNewHolder(node)) return;
      result.firstReportMs ??= since();
      unanswered.delete(agent.name);
      for (const name of unanswered) if (shardOf(cluster, name) !== shard) unanswered.delete(name);
      if (unanswered.size === 0) result.allReportsMs ??= since();
    },
    started: (agent) => {
      if (agents.has(agent.name) && isNewHolder(agent.controller)) result.firstStartMs ??= since();
    },
  };
}

function isComplete(result: Round): boolean {
  return result.firstStartMs !== null && result.allReportsMs !== null;
}

/** Takes cause and warmth of the failover from the status of the new holder. */
async function recordCause(cluster: LoopbackCluster, shard: string, result: Round): Promise<void> {
  const holder = cluster.controllers.get(cluster.holderOf(shard)!.holder)!;
  const status = await statusOf(holder);
  const failover = status?.standby?.takeovers.filter(({ slice }) => slice === shard).at(-1);
  result.cause = failover?.cause ?? null;
  result.warm = failover?.warm ?? null;
}

/** Processor time in seconds and resident memory in MB of a process. */
function costOf(pid: number): { cpuS: number; rssMb: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
  const ticks = Number(stat[11]) + Number(stat[12]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return { cpuS: ticks / 100, rssMb: (pages * 4096) / 1e6 };
}

interface Arguments {
  readonly kind: Kind | 'cost';
  readonly runs: number;
  readonly standby: 'on' | 'off';
  readonly out: string;
  /** With every job traced to a file. */
  readonly traced: boolean;
}

async function measureCost(cluster: LoopbackCluster, o: Arguments, forS: number): Promise<void> {
  const before = NODES.map((node) => costOf(cluster.controllers.get(node)!.pid));
  await sleep(forS * 1000);
  const after = NODES.map((node) => costOf(cluster.controllers.get(node)!.pid));
  const shown = await Promise.all(NODES.map((node) => statusOf(cluster.controllers.get(node)!)));
  const sent = shown.flatMap((s) =>
    (s?.standby?.slices ?? []).flatMap((x) =>
      (x.followers ?? []).map((f) => (f as { sentBytes?: number }).sentBytes ?? 0),
    ),
  );
  const line = {
    kind: 'cost',
    standby: o.standby,
    traced: o.traced,
    seconds: forS,
    machines: cluster.simulatedCluster.liveAgents().length,
    cpuPart: after.map((a, i) => Number(((a.cpuS - before[i]!.cpuS) / forS).toFixed(4))),
    rssMb: after.map((a) => Math.round(a.rssMb)),
    sentBytes: sent.reduce((sum, x) => sum + x, 0),
    suspicions: shown.reduce((sum, s) => sum + (s?.standby?.counts.suspicions ?? 0), 0),
    falseTakeovers: shown.reduce((sum, s) => sum + (s?.standby?.counts.falseTakeovers ?? 0), 0),
  };
  appendFileSync(o.out, `${JSON.stringify(line)}\n`);
}

async function main(): Promise<void> {
  const program = new Command()
    .requiredOption('--kind <kind>', `${KINDS.join(', ')} or cost`)
    .option('--runs <n>', 'takeovers; for cost: seconds', Number, 30)
    .requiredOption('--standby <on|off>')
    .option('--traced', 'every job is traced to a file', false)
    .option('--out <file>', 'JSON lines are added to it', 'target/takeovers.jsonl')
    .parse();
  const o = program.opts<Arguments>();
  const cluster = new LoopbackCluster(PER_ZONE);
  const users = new Users(cluster);
  try {
    const file = path.join(cluster.directory, 'spans.jsonl');
    const tracing = `[packages.tracing]\nfile = "${file}"\nsample_ratio = 1.0\n`;
    await cluster.start(OPERATOR[o.standby] + (o.traced ? tracing : ''));
    await cluster.until('settled', () => isSettled(cluster));
    void users.run(SUBMIT_EVERY_MS);
    await cluster.until('work is under way', () => cluster.simulatedCluster.starts > 30);
    if (o.kind === 'cost') await measureCost(cluster, o, o.runs);
    else
      for (let round = 0; round < o.runs; round++) {
        const result = await measureFailover(cluster, users, { kind: o.kind, standby: o.standby, round });
        appendFileSync(o.out, `${JSON.stringify(result)}\n`);
      }
    users.stop();
    await cluster.until('all jobs are over', () => users.open().length === 0, 180_000);
    if (users.failed !== null) throw users.failed;
  } finally {
    users.stop();
    await cluster.stop();
  }
}

void main();
