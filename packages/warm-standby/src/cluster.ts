/** Which controllers are standbys of which shard, according to the committed state. */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { CommittedShard, PluginServices } from '../../../src/plugin-host/api.js';
import type { FailureDomains } from './failure-domains.js';
import { placeStandbys } from './standby-placement.js';

/** The controllers of the cluster, their failure domains and their roles for shards. */
export class Cluster {
  constructor(
    private readonly service: PluginServices,
    readonly domains: FailureDomains,
    /** Failure domain by name of controller. */
    readonly domainOf: ReadonlyMap<string, string>,
    /** Number of standbys of each shard. */
    private readonly degree: number,
  ) {}

  /** The standbys of a shard, the first to take over first. Controllers without session and draining ones are left out. */
  standbysOf({ name: shard, holder }: CommittedShard): NodeName[] {
    const candidates = this.service.committedState
      .sessions()
      .filter((s) => !s.isDraining && this.domainOf.has(s.node))
      .map((s) => s.node);
    return placeStandbys({ shard, holder, candidates, domainOf: this.domainOf, degree: this.degree });
  }

  /** Whether the settings have a controller of this name; each controller has a shard of the same name. */
  isController(name: NodeName): boolean {
    return this.domainOf.has(name);
  }

  /** Shards that this process holds and whose committed state its view has completely. */
  heldShards(): CommittedShard[] {
    const { committedState, incarnation } = this.service;
    return committedState
      .shards()
      .filter((s) => s.incarnation === incarnation && committedState.isHeldCompletely(s.name));
  }

  /** All other controllers except the one given. */
  peersExcept(node: NodeName): NodeName[] {
    return this.service.peers.map((p) => p.node).filter((n) => n !== node);
  }
}
