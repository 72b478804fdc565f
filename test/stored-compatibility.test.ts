/**
 * Stored records, frames between controllers and standby messages as an earlier version wrote them (test/fixtures).
 * Guards against a changed name or encoding, which makes controllers of different versions misread each other while both
 * run: everything is read, and written back byte for byte.
 */
import assert from 'node:assert/strict';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import net, { type AddressInfo } from 'node:net';
import path from 'node:path';
import { describe, test } from 'node:test';
import {
  TOPIC,
  decodeAcknowledgement,
  decodeAppend,
  decodePrepare,
  decodePrepareAnswer,
  decodeProbe,
  decodeProbeAnswer,
  decodeSnapshot,
  encodeAcknowledgement,
  encodeAppend,
  encodePrepare,
  encodePrepareAnswer,
  encodeProbe,
  encodeProbeAnswer,
  encodeSnapshot,
} from '../packages/warm-standby/src/messages.js';
import { version } from '../src/core/model/ids.js';
import { parseKey, type ParsedKey } from '../src/core/records/keys.js';
import { fromStoredJob, jsonBytes, toStoredJob, type StoredJob } from '../src/core/records/stored-records.js';
import { ClusterView } from '../src/core/state/cluster-view.js';
import { PeerLink } from '../src/io/peers/peer-link.js';
import { PeerServer } from '../src/io/peers/peer-server.js';

interface StoredRecord {
  readonly kind: string;
  readonly key: string;
  readonly value: unknown;
}
interface StandbyMessage {
  readonly topic: string;
  readonly hex: string;
  readonly answerHex: string | null;
}
interface PeerFrame {
  readonly direction: 'request' | 'response';
  readonly hex: string;
}

/** Reads a fixture; the path is relative to the root of the repository, where tests run. */
const readFixture = (name: string): unknown =>
  JSON.parse(readFileSync(path.join('test', 'fixtures', name), 'utf8'));

/** Kinds of keys as the code names them, by the name in the fixtures where that differs. */
const KEY_KIND_BY_FIXTURE_KIND: Readonly<Record<string, ParsedKey['kind']>> = {
  slice: 'shard',
  substitutes: 'proxied_machines',
};
const LOWER_VALUE_LIMIT_BYTES = 2048;
const VALUE_LIMIT_BYTES = 8192;

describe('stored records of an earlier version', () => {
  const records = readFixture('stored-records.json') as StoredRecord[];

  test('cover every kind of key', () => {
    const kinds = new Set(records.map((record) => record.kind));
    assert.deepEqual(
      [...kinds].sort(),
      'cancellation final job leader machine rental session slice substitutes team types'.split(' '),
    );
  });

  test('are found under their keys and held as they were written', () => {
    const view = new ClusterView();
    for (const { kind, key, value } of records) {
      assert.equal(parseKey(key).kind, KEY_KIND_BY_FIXTURE_KIND[kind] ?? kind, key);
      const isNew = !view.entries.has(key);
      const isApplied = view.apply({ key, value: structuredClone(value), version: version(isNew ? 1 : 2) });
      if (isApplied) assert.equal(JSON.stringify(view.entries.get(key)?.value), JSON.stringify(value));
    }
    assert.ok(view.machines.size > 0 && view.jobs.size > 0 && view.shards.size > 0);
    assert.ok(view.proxiedMachines.size > 0 && view.types !== null && view.leader !== null);
  });

  test('of jobs are written back byte for byte', () => {
    for (const { kind, key, value } of records) {
      if (kind !== 'job') continue;
      const stored = value as StoredJob;
      const limit = 'packedNeeds' in stored.spec ? LOWER_VALUE_LIMIT_BYTES : VALUE_LIMIT_BYTES;
      const written = toStoredJob(fromStoredJob(structuredClone(stored)), limit);
      assert.equal(JSON.stringify(written), JSON.stringify(stored), key);
      assert.ok(jsonBytes(written) <= limit);
    }
  });
});

describe('standby messages of an earlier version', () => {
  const codecs: Readonly<
    Record<string, readonly [(bytes: Uint8Array) => Uint8Array, (bytes: Uint8Array) => Uint8Array]>
  > = {
    [TOPIC.append]: [
      (bytes) => encodeAppend(decodeAppend(bytes)),
      (bytes) => encodeAcknowledgement(decodeAcknowledgement(bytes)),
    ],
    [TOPIC.snapshot]: [
      (bytes) => encodeSnapshot(decodeSnapshot(bytes)),
      (bytes) => encodeAcknowledgement(decodeAcknowledgement(bytes)),
    ],
    [TOPIC.probe]: [
      (bytes) => encodeProbe(decodeProbe(bytes)),
      (bytes) => encodeProbeAnswer(decodeProbeAnswer(bytes)),
    ],
    [TOPIC.prepare]: [
      (bytes) => encodePrepare(decodePrepare(bytes)),
      (bytes) => encodePrepareAnswer(decodePrepareAnswer(bytes)),
    ],
  };

  test('are decoded and encoded again to the same bytes', () => {
    const messages = readFixture('standby-messages.json') as StandbyMessage[];
    assert.deepEqual(
      [...new Set(messages.map((message) => message.topic))].sort(),
      Object.values(TOPIC).sort(),
    );
    for (const { topic, hex, answerHex } of messages) {
      const [recodeRequest, recodeAnswer] = codecs[topic]!;
      assert.equal(Buffer.from(recodeRequest(Buffer.from(hex, 'hex'))).toString('hex'), hex, topic);
      if (answerHex !== null)
        assert.equal(
          Buffer.from(recodeAnswer(Buffer.from(answerHex, 'hex'))).toString('hex'),
          answerHex,
          topic,
        );
    }
  });
});

describe('frames between controllers of an earlier version', () => {
  const frames = readFixture('peer-frames.json') as PeerFrame[];
  const hexOf = (direction: PeerFrame['direction']) =>
    frames.filter((frame) => frame.direction === direction).map((frame) => frame.hex);

  const portOf = (server: net.Server): number => (server.address() as AddressInfo).port;
  const listen = (server: net.Server): Promise<void> =>
    new Promise((resolve) => {
      server.listen(0, '127.0.0.1', () => {
        resolve();
      });
    });

  test('are answered byte for byte', async () => {
    const temporaryServer = net.createServer();
    await listen(temporaryServer);
    const port = portOf(temporaryServer);
    await new Promise((resolve) => temporaryServer.close(resolve));
    const server = new PeerServer({
      onCancellation: (job) => Promise.resolve(`taken ${job}`),
      hasStateContact: () => true,
      onTopic: (topic, payload) => Promise.resolve(topic === 't' ? Buffer.from(payload).reverse() : null),
      maxConnections: 8,
    });
    await server.listen('127.0.0.1', port);
    const socket = net.connect(port, '127.0.0.1');
    const responses: string[] = [];
    // One request at a time, since concurrent ones may be answered in any order.
    for (const hex of hexOf('request')) {
      socket.write(Buffer.from(hex, 'hex'));
      const [chunk] = (await once(socket, 'data')) as [Buffer];
      responses.push(chunk.toString('hex'));
    }
    socket.destroy();
    server.close();
    assert.deepEqual(responses, hexOf('response'));
  });

  test('are sent byte for byte', async () => {
    const requests: string[] = [];
    const responses = hexOf('response');
    const server = net.createServer((socket) => {
      socket.on('data', (chunk: Buffer) => {
        requests.push(chunk.toString('hex'));
        socket.write(Buffer.from(responses[requests.length - 1]!, 'hex'));
      });
    });
    await listen(server);
    const link = new PeerLink(`127.0.0.1:${portOf(server)}`);
    assert.equal(await link.forwardCancellation('wk-000412', 2000), 'taken wk-000412');
    assert.equal(await link.hasStateContact(2000), true);
    assert.deepEqual([...(await link.ask('t', new Uint8Array([1, 2, 3]), 2000))!], [3, 2, 1]);
    assert.equal(await link.ask('nobody', new Uint8Array([9]), 2000), null);
    link.close();
    server.close();
    assert.deepEqual(requests, hexOf('request'));
  });
});
