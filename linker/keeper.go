package linker

import (
	"github.com/rotisserie/eris"

	"github.com/hyssoplift/hyssoplift/keeper"
)

func decodeKeeperBody(name string, data []byte) (Message, []byte, error) {
	switch name {
	case "record":
		return decodeKeeperAs[keeper.Record](data)
	case "record-ack":
		return decodeKeeperAs[keeper.RecordAck](data)
	case "record-refused":
		return decodeKeeperAs[keeper.RecordRefused](data)
	case "withdraw":
		return decodeKeeperAs[keeper.Withdraw](data)
	case "confirm":
		return decodeKeeperAs[keeper.Confirm](data)
	case "confirm-ack":
		return decodeKeeperAs[keeper.ConfirmAck](data)
	case "confirm-refused":
		return decodeKeeperAs[keeper.ConfirmRefused](data)
	case "sync-request":
		return decodeKeeperAs[keeper.SyncRequest](data)
	case "sync-response":
		return decodeKeeperAs[keeper.SyncResponse](data)
	case "synced":
		return decodeKeeperAs[keeper.Synced](data)
	case "outcome":
		return decodeKeeperAs[keeper.OutcomeBatch](data)
	case "outcome-ack":
		return decodeKeeperAs[keeper.OutcomeAck](data)
	default:
		return nil, nil, eris.New("unknown message name")
	}
}

func decodeKeeperAs[M keeper.Message](data []byte) (Message, []byte, error) {
	var message M
	rest, err := decoding.UnmarshalFirst(data, &message)
	if err != nil {
		return nil, nil, err
	}
	return KeeperMessage{Message: message}, rest, checkKeeperMessage(message)
}

func keeperMessageName(message keeper.Message) string {
	switch message.(type) {
	case keeper.Record:
		return "record"
	case keeper.RecordAck:
		return "record-ack"
	case keeper.RecordRefused:
		return "record-refused"
	case keeper.Withdraw:
		return "withdraw"
	case keeper.Confirm:
		return "confirm"
	case keeper.ConfirmAck:
		return "confirm-ack"
	case keeper.ConfirmRefused:
		return "confirm-refused"
	case keeper.SyncRequest:
		return "sync-request"
	case keeper.SyncResponse:
		return "sync-response"
	case keeper.Synced:
		return "synced"
	case keeper.OutcomeBatch:
		return "outcome"
	case keeper.OutcomeAck:
		return "outcome-ack"
	default:
		panic(eris.Errorf("message type %T has no name", message))
	}
}

// checkKeeperMessage returns an error if a text is too long. The decoder limits the length of arrays.
func checkKeeperMessage(message keeper.Message) error {
	switch message := message.(type) {
	case keeper.Record:
		return checkTexts(message.Key)
	case keeper.RecordAck:
		return checkTexts(message.Key)
	case keeper.RecordRefused:
		return checkTexts(message.Key)
	case keeper.Withdraw:
		return checkTexts(message.Key)
	case keeper.SyncResponse:
		for _, record := range message.Records {
			if err := checkTexts(record.Key, record.Holder); err != nil {
				return err
			}
		}
	case keeper.OutcomeBatch:
		for _, outcome := range message.Outcomes {
			if err := checkTexts(outcome.Key); err != nil {
				return err
			}
		}
	}
	return nil
}
