/** Which records of the shared state have changed, by kind: what loops and caches are told of. */
import { parseKey } from '../records/keys.js';
import type { JobId, MachineName, NodeName, TeamName } from '../model/ids.js';

/** The records that one batch of changes concerned; the view holds their present state already. */
export interface ViewChanges {
  readonly jobs: ReadonlySet<JobId>;
  readonly machines: ReadonlySet<MachineName>;
  readonly teams: ReadonlySet<TeamName>;
  readonly shards: ReadonlySet<NodeName>;
  readonly sessions: ReadonlySet<NodeName>;
  readonly cancellations: ReadonlySet<JobId>;
  readonly leader: boolean;
  readonly types: boolean;
}

/** Changes to jobs alone. */
export const viewChangesOfJobs = (jobs: ReadonlySet<JobId>): ViewChanges => ({ ...viewChangesOf([]), jobs });

/** Sorts changed keys by the kind of their records. */
export function viewChangesOf(keys: Iterable<string>): ViewChanges {
  const jobs = new Set<JobId>();
  const machines = new Set<MachineName>();
  const teams = new Set<TeamName>();
  const shards = new Set<NodeName>();
  const sessions = new Set<NodeName>();
  const cancellations = new Set<JobId>();
  let leader = false;
  let types = false;
  for (const text of keys) {
    const parsed = parseKey(text);
    switch (parsed.kind) {
      case 'job':
        jobs.add(parsed.job);
        break;
      case 'machine':
        machines.add(parsed.machine);
        break;
      case 'team':
        teams.add(parsed.team);
        break;
      case 'shard':
        shards.add(parsed.shard);
        break;
      case 'session':
        sessions.add(parsed.node);
        break;
      case 'cancellation':
        cancellations.add(parsed.job);
        break;
      case 'leader':
        leader = true;
        break;
      case 'types':
        types = true;
        break;
      case 'rental':
      case 'proxied_machines':
      case 'final':
      case 'unknown':
    }
  }
  return { jobs, machines, teams, shards, sessions, cancellations, leader, types };
}
