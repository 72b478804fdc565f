/**
 * Warm standby: for each slice another controller follows what its holder decides and learns, watches the holder, and takes
 * over within seconds once it has surely lost the slice. docs/warm-standby.md has the design.
 */
import type { RunningPlugin, PluginServices, PluginDefinition } from '../../../src/plugin-host/api.js';
import { Cluster } from './cluster.js';
import { DomainError, FailureDomains, domainsOfControllers } from './failure-domains.js';
import { Handover } from './handover.js';
import { HolderMonitor } from './holder-monitor.js';
import { Metrics } from './metrics.js';
import { OptionsSchema, type Options } from './options.js';
import { Publisher } from './publisher.js';
import { Receiver } from './receiver.js';
import { standbyStatus } from './status.js';
import { TakeoverLoop } from './takeover.js';
import { PHASES, TakeoverHistory, type Takeover } from './takeover-history.js';

/** Records the spans of a takeover and of its phases. */
function trace({ tracer }: PluginServices, takeover: Takeover): void {
  const { at, traceParent, shard, from, cause } = takeover;
  const moments = Object.values(at).filter((t): t is number => t !== null);
  tracer.record({
    name: 'takeover',
    startMs: Math.min(...moments),
    endMs: Math.max(...moments),
    parent: takeover.handoverTrace,
    self: traceParent,
    attributes: { slice: shard, from, cause, epoch: takeover.epoch, warm: takeover.wasWarm },
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
  const history = new TakeoverHistory(service, (takeover) => {
    metrics.noteTakeover(takeover);
    trace(service, takeover);
  });
  const receiver = new Receiver(service, cluster, monitor, options, (shard, traceParent) => {
    takeovers.expect(shard, traceParent);
  });
  const takeovers = new TakeoverLoop(service, cluster, monitor, receiver, publisher, history, options);
  const handover = new Handover(service, cluster, publisher, options);
  const metrics = new Metrics({ publisher, receiver, takeovers });
  return {
    run: async () => {
      await Promise.all([publisher.run(), takeovers.run()]);
    },
    status: () => standbyStatus({ service, cluster, monitor, publisher, receiver, takeovers, history }),
    commands: { handover: (body) => handover.request(body) },
    metrics: () => metrics.text(),
  };
}

/** The package. */
export const servicePackage: PluginDefinition<Options> = {
  schema: OptionsSchema,
  validate(options, settings) {
    try {
      domainsOfControllers(new FailureDomains(options.failure_domains), settings);
    } catch (e) {
      if (e instanceof DomainError) return e.message;
      throw e;
    }
    const peers = settings.peers.length;
    return options.degree > peers
      ? `degree: ${options.degree}, and there are ${peers} other controllers`
      : null;
  },
  start,
};
