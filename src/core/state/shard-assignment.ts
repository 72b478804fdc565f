/**
 * Assignment of teams to shards, and of shards to the controllers that hold them. There is one shard for each
 * controller, which is its default holder. On failover another controller holds the shard until the default
 * holder is back; only the shard's record changes, while teams and machines stay in their shard.
 */
import type { ShardRecord, Team, TeamRecord } from '../model/cluster.js';
import type { Incarnation, NodeName, TeamName } from '../model/ids.js';
import { CPU, GPU } from '../model/resources.js';

/** A controller that has a session with the state service. */
export interface LiveController {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** Seconds for which the leader has seen a session of this controller without interruption. */
  readonly sessionAgeS: number;
  /** Whether the controller can reach its agents, as far as the leader knows, and is not draining. */
  readonly canReachAgents: boolean;
}

/** Input of the assignment of teams to shards. */
export interface TeamAssignmentInput {
  readonly shards: readonly NodeName[];
  readonly teams: readonly Team[];
  /** The present assignments by team; a team whose shard no longer exists is reassigned. */
  readonly teamRecords: ReadonlyMap<TeamName, TeamRecord>;
}

/** Input of the assignment of shards to controllers. */
export interface ShardAssignmentInput {
  readonly shards: readonly NodeName[];
  readonly live: readonly LiveController[];
  /** The present shard records by shard. */
  readonly shardRecords: ReadonlyMap<string, ShardRecord>;
  /**
   * Session age in seconds from which a shard returns to its default holder; keeps the shard from flapping.
   */
  readonly returnAfterS: number;
}

/** The shards for teams without an existing shard, chosen to spread guarantees evenly. */
export function assignTeamsToShards({
  shards,
  teams,
  teamRecords,
}: TeamAssignmentInput): Map<TeamName, NodeName> {
  const load = new Map<NodeName, number>(shards.map((shard) => [shard, 0]));
  const unassigned: Team[] = [];
  for (const team of teams) {
    const shard = teamRecords.get(team.name)?.owner;
    if (shard !== undefined && load.has(shard)) load.set(shard, load.get(shard)! + loadOf(team));
    else unassigned.push(team);
  }
  unassigned.sort((a, b) => loadOf(b) - loadOf(a) || (a.name < b.name ? -1 : 1));
  const assignments = new Map<TeamName, NodeName>();
  for (const team of unassigned) {
    const shard = leastLoaded(load, (name) => name);
    assignments.set(team.name, shard);
    load.set(shard, load.get(shard)! + loadOf(team));
  }
  return assignments;
}

/** The new holders of the shards whose holder has to change; empty while no controller is live. */
export function assignShardHolders(input: ShardAssignmentInput): Map<NodeName, LiveController> {
  const { shards, live, returnAfterS } = input;
  const assignments = new Map<NodeName, LiveController>();
  const candidates = holderCandidates(live);
  if (candidates.length === 0) return assignments;
  const shardCounts = shardsByCandidate(candidates, input);
  for (const shard of shards) {
    const holder = liveHolder(shard, input);
    const defaultHolder = candidates.find(({ node }) => node === shard);
    if (holder !== undefined && shardCounts.has(holder)) {
      const shouldReturn =
        defaultHolder !== undefined && defaultHolder !== holder && defaultHolder.sessionAgeS >= returnAfterS;
      if (shouldReturn) assignments.set(shard, defaultHolder);
      continue;
    }
    const newHolder = defaultHolder ?? leastLoaded(shardCounts, ({ node }) => node);
    shardCounts.set(newHolder, shardCounts.get(newHolder)! + 1);
    assignments.set(shard, newHolder);
  }
  return assignments;
}

/**
 * Load that a team adds to its shard: the larger of its CPU and GPU guarantees in micro-units, at least 1.
 */
function loadOf({ guarantee }: Team): number {
  return Math.max(1, guarantee[CPU], guarantee[GPU]);
}

/** The live controllers that can reach their agents and are not draining; all live controllers if there are none. */
function holderCandidates(live: readonly LiveController[]): readonly LiveController[] {
  const connected = live.filter((controller) => controller.canReachAgents);
  return connected.length > 0 ? connected : live;
}

/** Number of shards that each candidate holds. */
function shardsByCandidate(
  candidates: readonly LiveController[],
  input: ShardAssignmentInput,
): Map<LiveController, number> {
  const shardCounts = new Map<LiveController, number>(candidates.map((controller) => [controller, 0]));
  for (const shard of input.shards) {
    const holder = liveHolder(shard, input);
    const count = holder === undefined ? undefined : shardCounts.get(holder);
    if (count !== undefined) shardCounts.set(holder!, count + 1);
  }
  return shardCounts;
}

/** The live controller that holds the shard; undefined if the holder has ended or restarted. */
function liveHolder(
  shard: NodeName,
  { live, shardRecords }: Pick<ShardAssignmentInput, 'live' | 'shardRecords'>,
): LiveController | undefined {
  const record = shardRecords.get(shard);
  if (record === undefined) return undefined;
  return live.find(({ node, incarnation }) => node === record.holder && incarnation === record.incarnation);
}

/** The key with the smallest load; of several, the first by name. The map must not be empty. */
function leastLoaded<Key>(load: ReadonlyMap<Key, number>, nameOf: (item: Key) => NodeName): Key {
  const byLoad = [...load].sort(
    ([a, loadA], [b, loadB]) => loadA - loadB || (nameOf(a) < nameOf(b) ? -1 : 1),
  );
  return byLoad[0]![0];
}
