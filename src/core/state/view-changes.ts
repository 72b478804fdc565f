/** Which records of the shared state have changed, by kind: what loops and caches are notified of. */
import type { JobId, MachineName, NodeName, TeamName } from '../model/ids.js';
import { parseKey } from '../records/keys.js';

/** The records that one batch of changes concerned; the view holds their present state already. */
export interface ViewChanges {
  readonly jobs: ReadonlySet<JobId>;
  readonly machines: ReadonlySet<MachineName>;
  readonly teams: ReadonlySet<TeamName>;
  readonly shards: ReadonlySet<NodeName>;
  readonly sessions: ReadonlySet<NodeName>;
  /** Jobs whose cancellation was requested or is complete. */
  readonly cancellations: ReadonlySet<JobId>;
  /** Whether the leader's record changed. */
  readonly leader: boolean;
  /** Whether the list of machine types changed. */
  readonly types: boolean;
}

/** Changes to jobs alone. */
export const viewChangesOfJobs = (jobs: ReadonlySet<JobId>): ViewChanges => ({ ...viewChangesOf([]), jobs });

/** Sorts changed keys by the kind of their records; rentals, proxied machines and final states notify nobody. */
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
