import type {HostId, PeerMessage} from '@basilworks/core';

import type {DaemonContext} from '../context.js';
import type {AnswerSink, AnswerSource} from '../lib/answer.js';
import type {RunnersOf} from '../runner-table.js';
import {notSent} from './frames.js';
import {PeerClient, type RemoteExecution} from './peer-client.js';

/** Connections to all peers, opened on first use and reused. */
export class PeerLinks {
  private readonly clients = new Map<HostId, PeerClient>();

  constructor(private readonly context: DaemonContext) {
    context.signal.addEventListener('abort', () => {
      for (const client of this.clients.values()) {
        client.close();
      }
    });
  }

  readonly runners: RunnersOf<'send-peer-message'> = {
    'send-peer-message': ({to, message}) => {
      this.send(to, message);
    },
  };

  /** Sends a control message; it is lost when the peer is unknown. */
  send(to: HostId, message: PeerMessage): void {
    const {metrics, logger} = this.context;
    const client = this.clientOf(to);
    if (client === undefined) {
      logger.debug('no address for peer', {peer: to, type: message.type});
      return;
    }
    metrics.controlMessages.inc({direction: 'sent', type: message.type});
    client.send(message);
  }

  /** Runs a request at the owner of its server. */
  execute(
    owner: HostId,
    execution: RemoteExecution,
    sink: AnswerSink,
  ): AnswerSource {
    const client = this.clientOf(owner);
    if (client !== undefined) {
      return client.execute(execution, sink);
    }
    queueMicrotask(() => {
      sink.end(notSent('peer-unreachable', `no address for ${owner}`));
    });
    return {resume: () => undefined, cancel: () => undefined};
  }

  private clientOf(host: HostId): PeerClient | undefined {
    const known = this.clients.get(host);
    const address = this.context.directory.host(host)?.peerAddress;
    if (known !== undefined && (!address || known.address === address)) {
      return known;
    }
    known?.close();
    this.clients.delete(host);
    if (address === undefined) {
      return undefined;
    }
    const client = this.connect(host, address);
    this.clients.set(host, client);
    return client;
  }

  private connect(host: HostId, address: string): PeerClient {
    const {settings, identity, loop, metrics, logger} = this.context;
    const sender = {host: settings.host, incarnation: identity.incarnation};
    return new PeerClient(address, sender, {
      reachabilityChanged: (reachable) => {
        logger.info('peer reachability changed', {peer: host, reachable});
        loop.post({type: 'peer-reachability', host, reachable});
      },
      batchSent: (bytes) => {
        metrics.controlBytes.inc({direction: 'sent', channel: 'peer'}, bytes);
      },
    });
  }
}
