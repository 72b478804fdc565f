/**
 * Warm standby: for each shard another controller replicates what its holder decides and learns, monitors the holder, and
 * takes the shard over within seconds of a failure, by a transaction that fences off the former holder. The design is
 * described in docs/warm-standby.md.
 */
import type { RunningPlugin, PluginServices, PluginDefinition } from '../../../src/plugin-host/api.js';
import { Cluster } from './cluster.js';
import { PHASES, FailoverHistory, type Failover } from './failover-history.js';
import { FailoverLoop } from './failover-loop.js';
import { FailureDomainError, FailureDomains, domainsOfControllers } from './failure-domains.js';
import { Handover } from './handover.js';
import { HolderMonitor } from './holder-monitor.js';
import { Metrics } from './metrics.js';
import { OptionsSchema, type Options } from './options.js';
import { Publisher } from './publisher.js';
import { Receiver } from './receiver.js';
import { standbyStatus } from './status.js';

/** Records the span of a failover and, below it, one span for each phase that was completed. */
function recordSpans({ tracer }: PluginServices, failover: Failover): void {
  const { at, traceParent, shard, from, cause } = failover;
  const reached = Object.values(at).filter((t): t is number => t !== null);
  tracer.record({
    name: 'takeover',
    startMs: Math.min(...reached),
    endMs: Math.max(...reached),
    parent: failover.handoverTrace,
    context: traceParent,
    attributes: { slice: shard, from, cause, epoch: failover.epoch, warm: failover.wasWarm },
  });
  for (const [phase, start, end] of PHASES) {
    const [startMs, endMs] = [at[start], at[end]];
    if (startMs !== null && endMs !== null)
      tracer.record({
        name: `takeover.${phase}`,
        startMs,
        endMs,
        parent: traceParent,
        attributes: { slice: shard },
      });
  }
}

function start(service: PluginServices, options: Options): RunningPlugin {
  const domains = new FailureDomains(options.failure_domains);
  const domainOf = domainsOfControllers(domains, service.settings);
  const cluster = new Cluster(service, domains, domainOf, options.degree);
  const monitor = new HolderMonitor(options.replication.heartbeat_ms, options.detection);
  const publisher = new Publisher(service, cluster, options.replication);
  const history = new FailoverHistory(service, (failover) => {
    metrics.recordFailover(failover);
    recordSpans(service, failover);
  });
  const receiver = new Receiver(service, cluster, monitor, options, (shard, traceParent) => {
    failovers.expectHandover(shard, traceParent);
  });
  const failovers = new FailoverLoop(service, cluster, monitor, receiver, publisher, history, options);
  const handover = new Handover(service, cluster, publisher, options);
  const metrics = new Metrics({ publisher, receiver, failovers });
  return {
    run: async () => {
      await Promise.all([publisher.run(), failovers.run()]);
    },
    status: () => standbyStatus({ service, cluster, monitor, publisher, receiver, failovers, history }),
    commands: { handover: (body) => handover.request(body) },
    metrics: () => metrics.text(),
  };
}

/** The definition of plugin `warm_standby`. */
export const servicePackage: PluginDefinition<Options> = {
  schema: OptionsSchema,
  validate(options, settings) {
    try {
      domainsOfControllers(new FailureDomains(options.failure_domains), settings);
    } catch (error) {
      if (error instanceof FailureDomainError) return error.message;
      throw error;
    }
    const peers = settings.peers.length;
    return options.degree > peers
      ? `degree: ${options.degree}, and there are ${peers} other controllers`
      : null;
  },
  start,
};
