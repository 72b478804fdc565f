/** Which controllers stand by for which shard, by what is committed now. */
import type { NodeName } from '../../../src/core/model/ids.js';
import type { PluginServices, ShardFact } from '../../../src/plugin-host/api.js';
import type { FailureDomains } from './failure-domains.js';
import { placeStandbys } from './standby-placement.js';

/** The controllers as this package sees them. */
export class Cluster {
  constructor(
    private readonly service: PluginServices,
    readonly domains: FailureDomains,
    readonly domainOf: ReadonlyMap<string, string>,
    private readonly degree: number,
  ) {}

  /** The standbys of a shard, the first in order first. */
  standbysOf({ name: shard, holder }: ShardFact): NodeName[] {
    const candidates = this.service.facts
      .sessions()
      .filter((s) => !s.isDraining && this.domainOf.has(s.node))
      .map((s) => s.node);
    return placeStandbys({ shard, holder, candidates, domainOf: this.domainOf, degree: this.degree });
  }

  /** Whether the settings name a controller, and so a shard, like this. */
  isController(name: NodeName): boolean {
    return this.domainOf.has(name);
  }

  /** Shards that this process holds and knows all about. */
  heldShards(): ShardFact[] {
    const { facts, incarnation } = this.service;
    return facts.shards().filter((s) => s.incarnation === incarnation && facts.isHeldCompletely(s.name));
  }

  /** All controllers but this one and the one given. */
  othersThan(node: NodeName): NodeName[] {
    return this.service.peers.map((p) => p.node).filter((n) => n !== node);
  }
}
