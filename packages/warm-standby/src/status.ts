/** The package's part of what `status` shows. */
import type { PluginServices, ShardFact } from '../../../src/plugin-host/api.js';
import type { Cluster } from './cluster.js';
import { phasesOf, type FailoverHistory } from './failover-history.js';
import type { FailoverLoop } from './failover-loop.js';
import type { HolderMonitor } from './holder-monitor.js';
import type { Publisher } from './publisher.js';
import type { Receiver } from './receiver.js';

/** The parts of the package that its status is read from. */
export interface StatusSources {
  readonly service: PluginServices;
  readonly cluster: Cluster;
  readonly monitor: HolderMonitor;
  readonly publisher: Publisher;
  readonly receiver: Receiver;
  readonly takeovers: FailoverLoop;
  readonly history: FailoverHistory;
}

function holderPart({ publisher }: StatusSources, fact: ShardFact): object {
  const published = publisher.shards.get(fact.name);
  if (published === undefined) return {};
  const { log, followers } = published;
  return {
    head: log.head,
    followers: [...followers.values()].map((follower) => ({
      standby: follower.node,
      status: follower.status,
      lagEntries: log.head - follower.acknowledged,
      sentBytes: follower.bytesSent,
    })),
  };
}

function standbyPart(sources: StatusSources, fact: ShardFact): object {
  const { receiver, monitor, takeovers: failovers, service } = sources;
  const replica = receiver.replicas.get(fact.name);
  const now = service.clock.now();
  const lag = replica?.epoch === fact.epoch ? replica.lag() : null;
  const suspicion = failovers.suspicions.get(fact.name);
  return {
    warm: receiver.isWarm(fact),
    applied: replica?.applied ?? null,
    lagEntries: lag?.entries ?? null,
    lagMs: lag === null ? null : Math.round(lag.ms),
    phi: Number(monitor.phi(fact.holder, now).toFixed(2)),
    suspected: suspicion !== undefined,
    waitsFor: suspicion?.deferredBy ?? null,
    backoffS: Math.ceil(failovers.backoffOf(fact.name).leftMs(now) / 1000),
  };
}

/** The package's part of what `status` shows: each shard by its role here, counts and the latest failovers. */
export function standbyStatus(sources: StatusSources): object {
  const { service, cluster, receiver, takeovers: failovers, history } = sources;
  return {
    failureDomains: Object.fromEntries(cluster.domainOf),
    slices: service.facts.shards().map((fact) => {
      const standbys = cluster.standbysOf(fact);
      const isHolder = fact.incarnation === service.incarnation;
      const isStandby = standbys.includes(service.node);
      return {
        slice: fact.name,
        active: fact.holder,
        epoch: fact.epoch,
        standbys,
        role: isHolder ? 'holder' : isStandby ? 'standby' : 'none',
        ...(isHolder ? holderPart(sources, fact) : isStandby ? standbyPart(sources, fact) : {}),
      };
    }),
    counts: failovers.counts,
    rejectedMessages: receiver.rejected,
    takeovers: history.failovers.map((failover) => ({
      slice: failover.shard,
      from: failover.from,
      cause: failover.cause,
      epoch: failover.epoch,
      warm: failover.wasWarm,
      at: new Date(failover.wall).toISOString(),
      machines: failover.machines,
      workersKnown: failover.agentsKnown,
      uncommittedEnds: failover.uncommittedExits,
      falseSuspicion: failover.isFalse,
      phasesMs: phasesOf(failover),
    })),
  };
}
