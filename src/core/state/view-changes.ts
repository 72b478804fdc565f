/** The records of the shared state that have changed, by kind; loops and caches are notified of them. */
import type { JobId, MachineName, NodeName, TeamName } from '../model/ids.js';
import { parseKey } from '../records/keys.js';

/**
 * The records that a batch of changes has added, changed or removed; the view already contains the changes.
 */
export interface ViewChanges {
  readonly jobs: ReadonlySet<JobId>;
  readonly machines: ReadonlySet<MachineName>;
  readonly teams: ReadonlySet<TeamName>;
  readonly shards: ReadonlySet<NodeName>;
  readonly sessions: ReadonlySet<NodeName>;
  /** Jobs whose cancellation was requested or has been completed. */
  readonly cancellations: ReadonlySet<JobId>;
  /** Whether the leader's record changed. */
  readonly leader: boolean;
  /** Whether the list of machine types changed. */
  readonly types: boolean;
}

/** Changes that concern only job records. */
export const viewChangesOfJobs = (jobs: ReadonlySet<JobId>): ViewChanges => ({ ...viewChangesOf([]), jobs });

/**
 * Groups changed keys by the kind of their records; leaves out rentals, proxied machines, final states and
 * unknown keys.
 */
export function viewChangesOf(keys: Iterable<string>): ViewChanges {
  const changes = {
    jobs: new Set<JobId>(),
    machines: new Set<MachineName>(),
    teams: new Set<TeamName>(),
    shards: new Set<NodeName>(),
    sessions: new Set<NodeName>(),
    cancellations: new Set<JobId>(),
    leader: false,
    types: false,
  };
  for (const key of keys) {
    const parsed = parseKey(key);
    switch (parsed.kind) {
      case 'job':
        changes.jobs.add(parsed.job);
        break;
      case 'machine':
        changes.machines.add(parsed.machine);
        break;
      case 'team':
        changes.teams.add(parsed.team);
        break;
      case 'shard':
        changes.shards.add(parsed.shard);
        break;
      case 'session':
        changes.sessions.add(parsed.node);
        break;
      case 'cancellation':
        changes.cancellations.add(parsed.job);
        break;
      case 'leader':
        changes.leader = true;
        break;
      case 'types':
        changes.types = true;
        break;
      default:
    }
  }
  return changes;
}
