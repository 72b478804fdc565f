/** Guards that make a transaction fail where something it was decided from has changed. */
import type { TeamName } from '../core/model/ids.js';
import type { MachineRecord } from '../core/model/machines.js';
import { key } from '../core/records/keys.js';
import type { ClusterView } from '../core/state/cluster-view.js';
import type { Guard } from '../io/state/state-messages.js';

/** Makes guards from the versions that the view holds now. */
export class TransactionGuards {
  constructor(private readonly view: ClusterView) {}

  /** Holds while the key has the version that the view shows. */
  forKey(text: string): Guard {
    return { key: text, version: this.view.versionOf(text) };
  }

  /** Hold while the machine's record is unchanged and its shard has its present holder. */
  forMachine({ name, owner }: MachineRecord): Guard[] {
    return [this.forKey(key.machine(name)), this.forKey(key.shard(owner))];
  }

  /** Hold while the team stays in its shard and the shard has its present holder. */
  forTeam(team: TeamName): Guard[] {
    return [this.forKey(key.team(team)), this.forKey(key.shard(this.view.teams.get(team)!.owner))];
  }
}
