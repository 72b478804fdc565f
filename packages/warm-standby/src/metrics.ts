/** Metrics of the plugin in the text format of Prometheus. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import { phasesOf, type Failover } from './failover-history.js';
import type { FailoverLoop } from './failover-loop.js';
import type { Publisher } from './publisher.js';
import type { Receiver } from './receiver.js';

const PREFIX = 'pepperbank_standby_';
const PHASE_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32];

/** The parts of the plugin that the metrics are read from. */
export interface MetricSources {
  readonly publisher: Publisher;
  readonly receiver: Receiver;
  readonly failovers: FailoverLoop;
}

/** The plugin's metrics of one controller. */
export class Metrics {
  private readonly registry = new Registry();
  private readonly phaseDurations: Histogram;
  private readonly failoversByCause: Counter;

  constructor(sources: MetricSources) {
    const { publisher, receiver, failovers } = sources;
    this.phaseDurations = new Histogram({
      name: `${PREFIX}takeover_phase_seconds`,
      help: 'Length of the phases of takeovers by this controller',
      labelNames: ['phase', 'cause'],
      buckets: PHASE_BUCKETS_S,
      registers: [this.registry],
    });
    this.failoversByCause = new Counter({
      name: `${PREFIX}takeovers_total`,
      help: 'Slices that came to this controller',
      labelNames: ['cause'],
      registers: [this.registry],
    });
    this.addGauge('sent_bytes', 'Bytes sent to standbys since the start', () => publisher.bytesSent);
    this.addGauge(
      'received_bytes',
      'Bytes received from holders since the start',
      () => receiver.bytesReceived,
    );
    this.addGauge('snapshots', 'Snapshots sent to standbys since the start', () => publisher.snapshotsSent);
    this.addGauge('suspicions', 'Suspicions of holders since the start', () => failovers.counts.suspicions);
    this.addGauge(
      'refuted',
      'Suspicions refuted by an answer since the start',
      () => failovers.counts.refuted,
    );
    this.addGauge(
      'false_takeovers',
      'Takeovers of holders that were alive, since the start',
      () => failovers.counts.falseTakeovers,
    );
    this.addLagGauge(publisher);
  }

  private addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name: PREFIX + name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  private addLagGauge(publisher: Publisher): void {
    new Gauge({
      name: `${PREFIX}lag_entries`,
      help: 'Entries that a standby of a slice held here has not acknowledged',
      labelNames: ['slice', 'standby'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [shard, { log, followers }] of publisher.shards)
          for (const follower of followers.values())
            this.set({ slice: shard, standby: follower.node }, log.head - follower.acknowledged);
      },
    });
  }

  /** Counts a failover that is complete or no longer tracked, and records its phases. */
  recordFailover(failover: Failover): void {
    const { cause } = failover;
    this.failoversByCause.inc({ cause });
    for (const [phase, ms] of Object.entries(phasesOf(failover)))
      this.phaseDurations.observe({ phase, cause }, ms / 1000);
  }

  /** The plugin's metrics in the text format of Prometheus. */
  text(): Promise<string> {
    return this.registry.metrics();
  }
}
