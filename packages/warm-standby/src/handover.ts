/** Planned handover: moves the shards of a controller to warm standbys before a restart, without a failure to detect. */
import { Type } from '@sinclair/typebox';
import { firstSchemaError } from '../../../src/config/platform-settings.js';
import type { NodeName } from '../../../src/core/model/ids.js';
import type { CommandReply, CommittedShard, PluginServices } from '../../../src/plugin-host/api.js';
import type { Cluster } from './cluster.js';
import { LOG_EVENT } from './log-events.js';
import { TOPIC, decodePrepareAnswer, encodePrepare, readAnswer } from './messages.js';
import type { Options } from './options.js';
import type { Publisher } from './publisher.js';

const RequestSchema = Type.Object(
  { to: Type.Optional(Type.String({ minLength: 1 })) },
  { additionalProperties: false },
);

/** A shard that is not handed over, and the reason. */
interface Refusal {
  readonly slice: NodeName;
  readonly reason: string;
}

/** A shard to hand over, and the standby that is prepared for it. */
interface Transfer {
  readonly shard: CommittedShard;
  readonly to: NodeName;
}

/** Hands the shards of this controller over when an operator requests it. */
export class Handover {
  private isRunning = false;

  constructor(
    private readonly service: PluginServices,
    private readonly cluster: Cluster,
    private readonly publisher: Publisher,
    private readonly options: Options,
  ) {}

  /** Handles the operator's command: status 200 where all shards were handed over, 409 where some were refused. */
  async request(body: unknown): Promise<CommandReply> {
    const request = body ?? {};
    const schemaError = firstSchemaError(RequestSchema, request);
    if (schemaError !== null) return { status: 400, body: { error: schemaError } };
    const to = (request as { to?: string }).to as NodeName | undefined;
    if (to !== undefined && !this.service.peers.some((p) => p.node === to))
      return { status: 400, body: { error: `to: ${to} is no other controller` } };
    if (!this.service.committedState.isReady) return { status: 503, body: { error: 'not ready' } };
    if (this.isRunning) return { status: 409, body: { error: 'a handover is under way' } };
    this.isRunning = true;
    try {
      return await this.handOver(to);
    } finally {
      this.isRunning = false;
    }
  }

  private async handOver(to: NodeName | undefined): Promise<CommandReply> {
    const { clock, tracer, log } = this.service;
    const startMs = clock.now();
    const span = tracer.reserve();
    const refused: Refusal[] = [];
    const transfers: Transfer[] = [];
    for (const shard of this.cluster.heldShards()) {
      const prepared = await this.prepare(shard, to, span);
      if (typeof prepared === 'string') refused.push({ slice: shard.name, reason: prepared });
      else transfers.push(prepared);
    }
    const handedOver = await this.commit(transfers, refused);
    log.info({ handedOver, refused }, LOG_EVENT.handoverFinished);
    tracer.record({ name: 'handover', startMs, endMs: clock.now(), context: span });
    return { status: refused.length === 0 ? 200 : 409, body: { handedOver, refused } };
  }

  /** Finds a standby that has the whole log and accepts the shard, or returns why there is none. */
  private async prepare(
    shard: CommittedShard,
    to: NodeName | undefined,
    span: string,
  ): Promise<Transfer | string> {
    const standbys = this.cluster.standbysOf(shard);
    if (to !== undefined && !standbys.includes(to)) return `${to} is no standby of this slice`;
    let reason = 'it has no standby in another failure domain';
    for (const node of to === undefined ? standbys : [to]) {
      if (!(await this.publisher.waitUntilCaughtUp(shard, node, this.options.handover.drain_ms))) {
        reason = `${node} does not keep up with the log`;
        continue;
      }
      const refusal = await this.askToPrepare(shard, node, span);
      if (refusal === null) return { shard, to: node };
      reason = `${node} ${refusal}`;
    }
    return reason;
  }

  /** Asks a standby to accept the shard; null where it does, otherwise the reason why not. */
  private async askToPrepare(
    shard: CommittedShard,
    node: NodeName,
    traceParent: string,
  ): Promise<string | null> {
    const { name, epoch } = shard;
    const head = this.publisher.shards.get(name)?.followers.get(node)?.acknowledged ?? 0;
    const payload = encodePrepare({ shard: name, epoch, head, traceParent });
    const reply = await this.service.channel.ask(
      node,
      TOPIC.prepare,
      payload,
      this.options.replication.answer_ms,
    );
    if (reply === null) return 'does not answer';
    const answer = readAnswer(decodePrepareAnswer, reply);
    if (answer === null) return 'gave an answer that cannot be read';
    return answer.accepted ? null : answer.reason;
  }

  /** Commits the transfers, one transaction for each target; adds those that fail to `refused`. */
  private async commit(
    transfers: readonly Transfer[],
    refused: Refusal[],
  ): Promise<{ slice: NodeName; to: NodeName }[]> {
    const handedOver: { slice: NodeName; to: NodeName }[] = [];
    const targets = new Set(transfers.map((t) => t.to));
    for (const to of targets) {
      const shards = transfers.filter((t) => t.to === to).map((t) => t.shard);
      const outcome = await this.service.shardControl.handOver(shards, to, this.options.handover.hold_ms);
      for (const { name } of shards) {
        if (outcome.kind === 'committed') handedOver.push({ slice: name, to });
        else refused.push({ slice: name, reason: `the change was not committed: ${outcome.kind}` });
      }
    }
    return handedOver;
  }
}
