/** Guards that make a transaction fail where a record that it was decided from has changed. */
import type { TeamName } from '../core/model/ids.js';
import type { MachineRecord } from '../core/model/machines.js';
import { key } from '../core/records/keys.js';
import type { ClusterView } from '../core/state/cluster-view.js';
import type { Guard } from '../io/state/state-messages.js';

/** Creates guards from the current versions of the view. */
export class TransactionGuards {
  constructor(private readonly view: ClusterView) {}

  /** A guard that holds while the key keeps its current version in the view. */
  forKey(guardedKey: string): Guard {
    return { key: guardedKey, version: this.view.versionOf(guardedKey) };
  }

  /** Guards that hold while the machine's record is unchanged and its shard keeps its holder. */
  forMachine({ name, owner }: MachineRecord): Guard[] {
    return [this.forKey(key.machine(name)), this.forKey(key.shard(owner))];
  }

  /** Guards that hold while the team stays in its shard and the shard keeps its holder. */
  forTeam(team: TeamName): Guard[] {
    return [this.forKey(key.team(team)), this.forKey(key.shard(this.view.teams.get(team)!.owner))];
  }
}
