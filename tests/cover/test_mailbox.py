"""Mailboxes keep order, wake selectors and drop messages once closed."""

import selectors
import threading
import unittest

from guavachute.kernel import mailbox


class MailboxTest(unittest.TestCase):
    def test_messages_arrive_in_order(self) -> None:
        box = mailbox.Mailbox()
        for number in range(5):
            box.send(number)
        received = [box.receive() for _ in range(5)]
        self.assertEqual([0, 1, 2, 3, 4], received)

    def test_receive_gives_none_after_its_timeout(self) -> None:
        self.assertIsNone(mailbox.Mailbox().receive(0.001))

    def test_a_selector_wakes_for_messages_sent_before_and_after(
        self,
    ) -> None:
        box = mailbox.Mailbox()
        box.send('before')
        with selectors.DefaultSelector() as selector:
            selector.register(box.fileno(), selectors.EVENT_READ)
            self.assertTrue(selector.select(5))
            self.assertEqual(['before'], box.drain())
            self.assertFalse(selector.select(0))
            threading.Thread(target=box.send, args=['after']).start()
            self.assertTrue(selector.select(5))
            self.assertEqual(['after'], box.drain())

    def test_a_closed_mailbox_drops_messages_and_releases_its_reader(
        self,
    ) -> None:
        box = mailbox.Mailbox()
        box.send('lost')
        box.close()
        box.send('lost too')
        self.assertIsNone(box.receive())
