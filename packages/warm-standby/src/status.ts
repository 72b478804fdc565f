/** The plugin's part of what `status` shows. */
import type { CommittedShard, PluginServices } from '../../../src/plugin-host/api.js';
import type { Cluster } from './cluster.js';
import { phasesOf, type FailoverHistory } from './failover-history.js';
import type { FailoverLoop } from './failover-loop.js';
import type { HolderMonitor } from './holder-monitor.js';
import type { Publisher } from './publisher.js';
import type { Receiver } from './receiver.js';

/** The parts of the plugin that its status is read from. */
export interface StatusSources {
  readonly service: PluginServices;
  readonly cluster: Cluster;
  readonly monitor: HolderMonitor;
  readonly publisher: Publisher;
  readonly receiver: Receiver;
  readonly failovers: FailoverLoop;
  readonly history: FailoverHistory;
}

function holderPart({ publisher }: StatusSources, shard: CommittedShard): object {
  const published = publisher.shards.get(shard.name);
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

function standbyPart(sources: StatusSources, shard: CommittedShard): object {
  const { receiver, monitor, failovers, service } = sources;
  const replica = receiver.replicas.get(shard.name);
  const now = service.clock.now();
  const lag = replica?.epoch === shard.epoch ? replica.lag() : null;
  const suspicion = failovers.suspicions.get(shard.name);
  return {
    warm: receiver.isWarm(shard),
    applied: replica?.applied ?? null,
    lagEntries: lag?.entries ?? null,
    lagMs: lag === null ? null : Math.round(lag.ms),
    phi: Number(monitor.phi(shard.holder, now).toFixed(2)),
    suspected: suspicion !== undefined,
    waitsFor: suspicion?.deferredBy ?? null,
    backoffS: Math.ceil(failovers.backoffOf(shard.name).remainingMs(now) / 1000),
  };
}

/** The plugin's part of what `status` shows: each shard by its role here, counts and the latest failovers. */
export function standbyStatus(sources: StatusSources): object {
  const { service, cluster, receiver, failovers, history } = sources;
  return {
    failureDomains: Object.fromEntries(cluster.domainOf),
    slices: service.committedState.shards().map((shard) => {
      const standbys = cluster.standbysOf(shard);
      const isHolder = shard.incarnation === service.incarnation;
      const isStandby = standbys.includes(service.node);
      return {
        slice: shard.name,
        active: shard.holder,
        epoch: shard.epoch,
        standbys,
        role: isHolder ? 'holder' : isStandby ? 'standby' : 'none',
        ...(isHolder ? holderPart(sources, shard) : isStandby ? standbyPart(sources, shard) : {}),
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
      at: new Date(failover.receivedAt).toISOString(),
      machines: failover.machineCount,
      workersKnown: failover.knownAgentCount,
      uncommittedEnds: failover.uncommittedExits,
      falseSuspicion: failover.isFalse,
      phasesMs: phasesOf(failover),
    })),
  };
}
